"""Promises that name calm hosts, so that all faults have to be known."""

import dataclasses
import math
from collections.abc import Iterator

from ..bounds import Bounds
from ..observations import (
    STORE,
    Arrival,
    Cut,
    Ledger,
    Left,
    Sent,
    was_served,
)
from .violation import Violation

LEFT_SLACK_S = 0.5  # from a caller's leaving to the end of the work for it
LEFT_MOST = 3  # arrivals so late are let pass in a run, as the pages do
WORK_SHARE = 0.25  # of the work left behind may go on for longer
WORK_LEAST = 8  # cases without which the share says nothing
SERVED_SHARE = 0.9  # of the requests after the last fault


def leaving_targets_are_left_alone(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """A calm host sent to a target that had said long ago that it leaves."""
    for identity, sent in ledger.sent_by_id.items():
        for arrival in ledger.arrivals_by_id.get(identity, ()):
            late_s = _lateness_s(ledger, arrival, bounds)
            subjects = frozenset((sent.host, STORE))
            since = arrival.at - bounds.contact_s
            if late_s > 0 and ledger.was_calm(subjects, since, arrival.at):
                target = arrival.taken.target
                detail = f'{target}, {late_s:.2f} s too late'
                yield Violation('leaving target', identity, detail)


def _lateness_s(ledger: Ledger, arrival: Arrival, bounds: Bounds) -> float:
    """Return how long after the last moment a request came to a target."""
    left_at = ledger.left_at_by_target.get(arrival.taken.target, math.inf)
    return arrival.at - left_at - bounds.leaving_s


def planned_work_cuts_nothing(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """A request was cut where nothing but planned work was going on."""
    everything = frozenset(
        subject
        for disruption in ledger.disruptions
        for subject in disruption.subjects
    )
    for identity, end in ledger.end_by_id.items():
        sent = ledger.sent_by_id[identity]
        since = sent.at - bounds.contact_s
        if not isinstance(end, Cut) or not ledger.runs(identity):
            continue
        if ledger.was_calm(everything, since, end.at, planned_too=False):
            yield Violation('planned work', identity, f'{sent.host}: {end}')


def work_ends_with_its_caller(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Targets got or went on with requests whose callers had left."""
    cases = list(_left_behind(ledger, bounds))
    late = [one for one in cases if one.came_after_s > LEFT_SLACK_S]
    kept_on = [one for one in cases if one.went_on_s > LEFT_SLACK_S]
    if len(late) > LEFT_MOST:
        detail = f'{len(late)} sent on'
        yield Violation('caller left', late[0].identity, detail)
    allowed = len(cases) * WORK_SHARE
    if len(cases) >= WORK_LEAST and len(kept_on) > allowed:
        detail = f'{len(kept_on)} of {len(cases)} went on'
        yield Violation('caller left', kept_on[0].identity, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class _LeftBehind:
    """A request at a target and when its caller left, in seconds."""

    identity: str
    came_after_s: float
    went_on_s: float


def _left_behind(ledger: Ledger, bounds: Bounds) -> Iterator[_LeftBehind]:
    """Give the requests at targets whose callers left in calm times."""
    for identity, end in ledger.end_by_id.items():
        sent = ledger.sent_by_id[identity]
        if not isinstance(end, Left):
            continue
        if not _is_calm(ledger, sent, end, bounds):
            continue
        yield from (
            _behind(arrival, end)
            for arrival in ledger.arrivals_by_id.get(identity, ())
        )


def _behind(arrival: Arrival, end: Left) -> _LeftBehind:
    ended_at = math.inf if arrival.ended_at is None else arrival.ended_at
    came_after_s = arrival.at - end.at
    return _LeftBehind(arrival.taken.identity, came_after_s, ended_at - end.at)


def _is_calm(ledger: Ledger, sent: Sent, end: Left, bounds: Bounds) -> bool:
    """Say whether nothing at all went wrong around a request."""
    since = sent.at - bounds.contact_s
    until = end.at + LEFT_SLACK_S
    return not any(
        disruption.overlaps(since, until) for disruption in ledger.disruptions
    )


def service_is_back(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    """Too few requests were served after the last fault was over."""
    ends = [
        ledger.end_by_id[identity]
        for identity, sent in ledger.sent_by_id.items()
        if sent.at > ledger.calm.since
        and sent.marks is None
        and identity in ledger.end_by_id
        and not _is_expected_failure(ledger, sent)
    ]
    served = sum(map(was_served, ends))
    if not ends or served < SERVED_SHARE * len(ends):
        yield Violation('recovery', 'all', f'{served} of {len(ends)} served')


def _is_expected_failure(ledger: Ledger, sent: Sent) -> bool:
    if isinstance(ledger.end_by_id[sent.identity], Left):
        return True
    return any(sent.key in change.withdrawn_keys for change in ledger.changes)
