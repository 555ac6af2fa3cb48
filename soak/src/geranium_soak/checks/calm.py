"""Guarantees that hold in the absence of faults.

They can be checked only after the run, when all faults are recorded.
"""

import dataclasses
import math
from collections.abc import Iterator

from ..bounds import Bounds
from ..observations import (
    STORE,
    CallerLeft,
    ConnectionCut,
    Ledger,
    SentRequest,
    TargetRequest,
    was_served,
)
from .violation import Violation

CANCEL_TOLERANCE_S = 0.5  # from a disconnect to the end of the work for it
MAX_LATE_ARRIVALS = 3  # tolerated per run, as documented
MAX_CONTINUED_SHARE = 0.25  # of the abandoned requests may run longer
MIN_CASES = 8  # the share is meaningless for fewer abandoned requests
MIN_SERVED_SHARE = 0.9  # of the requests after the last fault


def leaving_targets_get_no_requests(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that no host sends requests to a target that is leaving.

    Hosts may do so for ``leaving_s`` after the target's entry says that it
    leaves, or while they or the store are affected by a fault.
    """
    for identity in ledger.sent_by_id:
        for request in ledger.target_requests_by_id.get(identity, ()):
            late_s = _lateness_s(ledger, request, bounds)
            subjects = frozenset((request.sender.host, STORE))
            since = request.at - bounds.reconnect_s
            if late_s > 0 and ledger.was_calm(subjects, since, request.at):
                target = request.taken.target
                detail = f'{target}, {late_s:.2f} s too late'
                yield Violation('leaving target', identity, detail)


def _lateness_s(
    ledger: Ledger, request: TargetRequest, bounds: Bounds
) -> float:
    """Return how long after the allowed time a request reached a target."""
    left_at = ledger.left_at_by_target.get(request.taken.target, math.inf)
    return request.at - left_at - bounds.leaving_s


def planned_work_cuts_no_requests(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that planned operations alone cut no request."""
    everything = frozenset(
        subject
        for disruption in ledger.disruptions
        for subject in disruption.subjects
    )
    for identity, outcome in ledger.outcome_by_id.items():
        sent = ledger.sent_by_id[identity]
        since = sent.at - bounds.reconnect_s
        if not isinstance(outcome, ConnectionCut) or not ledger.runs(identity):
            continue
        if ledger.was_calm(everything, since, outcome.at, planned_too=False):
            yield Violation('planned work', identity, f'{sent.host}: {outcome}')


def work_ends_when_caller_leaves(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that targets stop working for callers that have disconnected."""
    cases = list(_abandoned_requests(ledger, bounds))
    late = [one for one in cases if one.arrived_after_s > CANCEL_TOLERANCE_S]
    continued = [one for one in cases if one.continued_s > CANCEL_TOLERANCE_S]
    if len(late) > MAX_LATE_ARRIVALS:
        detail = f'{len(late)} sent on'
        yield Violation('caller left', late[0].identity, detail)
    allowed = len(cases) * MAX_CONTINUED_SHARE
    if len(cases) >= MIN_CASES and len(continued) > allowed:
        detail = f'{len(continued)} of {len(cases)} went on'
        yield Violation('caller left', continued[0].identity, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class _AbandonedRequest:
    """A request at a target whose caller has disconnected.

    The times are relative to the disconnect, in seconds.
    """

    identity: str
    arrived_after_s: float
    continued_s: float


def _abandoned_requests(
    ledger: Ledger, bounds: Bounds
) -> Iterator[_AbandonedRequest]:
    """Yield the requests that were abandoned while no fault was active."""
    for identity, outcome in ledger.outcome_by_id.items():
        sent = ledger.sent_by_id[identity]
        if not isinstance(outcome, CallerLeft):
            continue
        if not _is_calm(ledger, sent, outcome, bounds):
            continue
        yield from (
            _abandoned_request(request, outcome)
            for request in ledger.target_requests_by_id.get(identity, ())
        )


def _abandoned_request(
    request: TargetRequest, outcome: CallerLeft
) -> _AbandonedRequest:
    ended_at = math.inf if request.ended_at is None else request.ended_at
    arrived_after_s = request.at - outcome.at
    return _AbandonedRequest(
        request.taken.identity, arrived_after_s, ended_at - outcome.at
    )


def _is_calm(
    ledger: Ledger, sent: SentRequest, outcome: CallerLeft, bounds: Bounds
) -> bool:
    """Return whether no fault was active around a request."""
    since = sent.at - bounds.reconnect_s
    until = outcome.at + CANCEL_TOLERANCE_S
    return not any(
        disruption.overlaps(since, until) for disruption in ledger.disruptions
    )


def service_recovers(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    """Check that requests are served again after the last fault."""
    outcomes = [
        ledger.outcome_by_id[identity]
        for identity, sent in ledger.sent_by_id.items()
        if sent.at > ledger.calm.since
        and sent.probed_version is None
        and identity in ledger.outcome_by_id
        and not _is_expected_failure(ledger, sent)
    ]
    served = sum(map(was_served, outcomes))
    if not outcomes or served < MIN_SERVED_SHARE * len(outcomes):
        yield Violation(
            'recovery', 'all', f'{served} of {len(outcomes)} served'
        )


def _is_expected_failure(ledger: Ledger, sent: SentRequest) -> bool:
    if isinstance(ledger.outcome_by_id[sent.identity], CallerLeft):
        return True
    return any(sent.key in change.withdrawn_keys for change in ledger.changes)
