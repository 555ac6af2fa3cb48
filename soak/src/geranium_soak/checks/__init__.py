"""Checks of the documented guarantees against the ledger of a run."""

from ..bounds import Bounds
from ..observations import Ledger
from . import (
    calm,
    configuration,
    cut_hosts,
    duties,
    notices,
    outcomes,
    retries,
    silences,
)
from .violation import Check, Violation

# Guarantees that hold at all times, whatever faults are active.
INVARIANTS: tuple[Check, ...] = (
    outcomes.requests_run_at_most_once,
    outcomes.refused_requests_do_not_run,
    outcomes.responses_are_from_targets,
    outcomes.requests_are_unaltered,
    outcomes.services_are_isolated,
    outcomes.streams_keep_their_version,
    configuration.withdrawn_keys_are_rejected,
    configuration.versions_never_decrease,
    duties.windows_are_reported_once,
)
# All guarantees. Those that depend on the absence of faults are checked after
# the run, since a fault is only recorded once it is over.
ALL_CHECKS: tuple[Check, ...] = (
    *INVARIANTS,
    configuration.versions_are_applied,
    duties.one_holder_at_a_time,
    duties.usage_is_accurate,
    calm.leaving_targets_get_no_requests,
    notices.departed_targets_get_no_requests,
    notices.paused_targets_get_no_requests,
    notices.limited_targets_get_no_more,
    calm.planned_work_cuts_no_requests,
    calm.work_ends_when_caller_leaves,
    calm.service_recovers,
    cut_hosts.cut_hosts_serve,
    retries.retries_keep_to_the_budget,
    silences.silent_targets_are_waited_for,
)


def find_violations(
    ledger: Ledger,
    bounds: Bounds,
    checks: tuple[Check, ...] = ALL_CHECKS,
) -> list[Violation]:
    """Return the violated guarantees."""
    return [
        violation for check in checks for violation in check(ledger, bounds)
    ]


__all__ = ['ALL_CHECKS', 'INVARIANTS', 'Check', 'Violation', 'find_violations']
