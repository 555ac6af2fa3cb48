"""Meters the usage of teams on this daemon by time window."""

import time

from geranium_coordination import UsageLedger
from geranium_model import Usage

from ..process import Telemetry, UsageSettings


class UsageMeter:
    """Records the usage of each team in the ledger's current window.

    Windows are numbered by wall-clock time, which only serves to name them.
    """

    def __init__(
        self,
        settings: UsageSettings,
        ledger: UsageLedger,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._telemetry = telemetry
        self.ledger = ledger
        self.usage_by_team: dict[str, Usage] = {}

    def add(self, team: str, service: str, usage: Usage) -> None:
        """Record the usage of a team's request."""
        self.ledger.record(self.current_window(), team, usage)
        self.usage_by_team[team] = self.usage_by_team.get(team, Usage()) + usage
        self._telemetry.tokens.add(
            usage.prompt_tokens,
            {'service': service, 'kind': 'prompt'},
        )
        self._telemetry.tokens.add(
            usage.generated_tokens,
            {'service': service, 'kind': 'generated'},
        )

    def current_window(self) -> int:
        """Return the number of the window that is open now."""
        return int(time.time() // self._settings.window_s)

    def due_window(self) -> int:
        """Return the number of the latest window that is due for reporting."""
        late_at = time.time() - self._settings.late_s
        return int(late_at // self._settings.window_s) - 1
