"""Guarantees about targets that ask hosts for no more requests."""

import collections
import dataclasses
import math
from collections.abc import Iterator
from typing import TypeAlias

from ..bounds import Bounds
from ..observations import (
    Ledger,
    Response,
    Sender,
    SentRequest,
    TargetRequest,
)
from .violation import Violation

PAUSE_NOTICE_S = 0.5  # from a refusal until its pause counts
MAX_REQUESTS_IN_PAUSE = 2
LIMIT_WINDOW_S = 4
LIMIT_TOLERANCE = 1.5  # of what a limit allows in a window
LIMIT_SLACK = 5  # requests

_Pair: TypeAlias = tuple[Sender, str]  # the sender and the target


@dataclasses.dataclass(frozen=True, slots=True)
class _Send:
    """A request that a host sent to a target for a caller."""

    sent: SentRequest
    request: TargetRequest

    @property
    def pair(self) -> _Pair:
        """The process that sent it to the target, and the target."""
        return self.request.sender, self.request.taken.target

    @property
    def subjects(self) -> frozenset[str]:
        """The host that sent it to the target, for the search for faults."""
        return frozenset((self.request.sender.host,))

    @property
    def limit_per_s(self) -> float:
        """The limit that the target named then, 0 if none."""
        return self.request.taken.limit_per_s or 0


def departed_targets_get_no_requests(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that a host sends nothing to a target that announced its stop.

    The bound counts from a response with the announcement that a caller got of
    the host, directly or through another one, to the sending of a caller's request. A paused host is excused.
    """
    told_at_by_pair = _announcements(ledger)
    for send in _sends(ledger):
        told_at = told_at_by_pair.get(send.pair, math.inf)
        late_s = send.sent.at - told_at - bounds.leaving_s
        until = send.request.at
        if late_s > 0 and ledger.was_calm(send.subjects, told_at, until):
            target = send.request.taken.target
            detail = f'{target}, {late_s:.2f} s too late'
            yield Violation('departed target', send.sent.identity, detail)


def paused_targets_get_no_requests(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that a host sends nothing to a target that asked for a pause."""
    sends_by_pair: collections.defaultdict[_Pair, list[_Send]] = (
        collections.defaultdict(list)
    )
    for send in _sends(ledger):
        sends_by_pair[send.pair].append(send)
    for sends in sends_by_pair.values():
        for refused in sends:
            late = _sends_in_pause(ledger, refused.request, sends)
            if late > MAX_REQUESTS_IN_PAUSE:
                sender, target = refused.pair
                detail = f'{late} requests of {sender.host}'
                yield Violation('paused target', target, detail)


def limited_targets_get_no_more(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that hosts together keep to the limits that targets name.

    The bound counts from ``reconnect_s`` after a target first named a limit,
    for hosts that have had no fault for as long. A limit that changes meanwhile
    is taken at its highest.
    """
    sends_by_target: collections.defaultdict[str, list[_Send]] = (
        collections.defaultdict(list)
    )
    for send in _sends(ledger):
        if send.limit_per_s:
            sends_by_target[send.request.taken.target].append(send)
    for target, sends in sends_by_target.items():
        limit_per_s = max(limited.limit_per_s for limited in sends)
        allowed = LIMIT_TOLERANCE * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK
        arrived = _arrivals_from_calm_hosts(ledger, bounds, sends)
        if _most_in_a_window(arrived) > allowed:
            detail = f'more than {allowed:.1f} requests in a window'
            yield Violation('named limit', target, detail)


def _arrivals_from_calm_hosts(
    ledger: Ledger, bounds: Bounds, sends: list[_Send]
) -> list[float]:
    """Return when requests of hosts arrived that must know of a limit."""
    named_at = min(send.request.at for send in sends)
    return [
        send.request.at
        for send in sends
        if send.request.at > named_at + bounds.reconnect_s
        and ledger.was_calm(
            send.subjects,
            send.request.at - bounds.reconnect_s,
            send.request.at,
        )
    ]


def _most_in_a_window(arrived: list[float]) -> int:
    counts = (
        sum(since <= at < since + LIMIT_WINDOW_S for at in arrived)
        for since in arrived
    )
    return max(counts, default=0)


def _sends(ledger: Ledger) -> Iterator[_Send]:
    for identity, sent in ledger.sent_by_id.items():
        for request in ledger.target_requests_by_id.get(identity, ()):
            yield _Send(sent, request)


def _announcements(ledger: Ledger) -> dict[_Pair, float]:
    """Return when each host first passed on an announcement of a target."""
    told_at_by_pair: dict[_Pair, float] = {}
    for send in _sends(ledger):
        outcome = ledger.outcome_by_id.get(send.sent.identity)
        if (
            not isinstance(outcome, Response)
            or not send.request.taken.announced
        ):
            continue
        if outcome.signature in send.request.responses:
            known = told_at_by_pair.get(send.pair, math.inf)
            told_at_by_pair[send.pair] = min(known, outcome.at)
    return told_at_by_pair


def _sends_in_pause(
    ledger: Ledger, refused: TargetRequest, sends: list[_Send]
) -> int:
    """Return the number of requests of a host in the pause of a target."""
    until = refused.paused_until
    if until is None:
        return 0
    if not ledger.was_calm(sends[0].subjects, refused.at, until):
        return 0
    since = refused.at + PAUSE_NOTICE_S
    return sum(since < send.request.at < until for send in sends)
