"""The time bounds of a deployment that the guarantees refer to."""

import dataclasses

from geranium_standins.settings import MS_PER_S

# The retry budget of the users' first sites.
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_SLACK = 56  # requests
RETRY_BUDGET_WINDOW_S = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The deployment's bounds that the guarantees refer to, in seconds.

    The values are those of the users' first sites, with shorter usage windows
    so that a short run contains several.
    """

    revoke_s: float = 5
    grace_s: float = 8
    lease_s: float = 3
    apply_s: float = 2
    rollback_s: float = 0.25
    leaving_s: float = 2
    reconnect_s: float = 3
    resume_s: float = 0.3
    window_s: float = 3
    usage_late_s: float = 10

    def settings(self) -> dict[str, object]:
        """Return the ``bounds`` section of a host's settings."""
        return {
            'revokeMs': self.revoke_s * MS_PER_S,
            'graceS': self.grace_s,
            'leaseMs': self.lease_s * MS_PER_S,
            'retryBudgetRatio': RETRY_BUDGET_RATIO,
            'budgetWindowS': RETRY_BUDGET_WINDOW_S,
            'budgetSlack': RETRY_BUDGET_SLACK,
            'reportWindowS': self.window_s,
            'usageLateS': self.usage_late_s,
        }
