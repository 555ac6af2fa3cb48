"""What the users' pages promise, checked against a ledger."""

from ..bounds import Bounds
from ..observations import Ledger
from . import calm, configuration, duties, outcomes
from .violation import Check, Violation

# Promises that hold at every moment, whatever faults are in force.
HARD: tuple[Check, ...] = (
    outcomes.runs_at_most_once,
    outcomes.refusals_are_true,
    outcomes.answers_are_own,
    outcomes.nothing_is_made_up,
    outcomes.services_are_kept_apart,
    configuration.withdrawn_keys_are_dead,
    configuration.versions_never_go_back,
    duties.windows_are_reported_once,
)
# Those that are checked once all faults are known.
AT_THE_END: tuple[Check, ...] = (
    *HARD,
    configuration.versions_are_applied,
    duties.one_holder_at_a_time,
    duties.usage_is_counted,
    calm.leaving_targets_are_left_alone,
    calm.planned_work_cuts_nothing,
    calm.work_ends_with_its_caller,
    calm.service_is_back,
)


def find_violations(
    ledger: Ledger,
    bounds: Bounds,
    checks: tuple[Check, ...] = AT_THE_END,
) -> list[Violation]:
    """Return the promises that were not kept."""
    return [
        violation for check in checks for violation in check(ledger, bounds)
    ]


__all__ = ['AT_THE_END', 'HARD', 'Check', 'Violation', 'find_violations']
