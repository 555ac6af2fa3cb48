"""What hosts that are being stopped may cut, and what they may not."""

import dataclasses
import enum
import math
from collections.abc import Iterator

from ..bounds import Bounds
from ..observations import (
    ConnectionCut,
    Disruption,
    Ledger,
    SentRequest,
    TargetRequest,
)
from .violation import Violation

PROMISE = 'planned stops'
LATE_CLOSE = 'planned stops, not passed on'
LOSS_SLACK_S = 0.2  # from the last byte of a request that may cross the close
AFTER_GRACE_S = 1  # for which a stop counts beyond the grace period
AT_WORK_SHARE = 5 / 6  # of the grace period, after which targets are late
EARLY_S = 3  # after SIGTERM, for requests whose targets are late
MAX_CUT_AT_OTHER_TIMES = 3


class Fate(enum.Enum):
    """Why a connection may end without a complete response, or not."""

    CROSSED = 'crossed the close'
    DISRUPTED = 'unplanned disruption'
    EXPIRED = 'deadline reached'
    AT_WORK = 'target at work in the last sixth'
    NO_STOP = 'cut while the host was not stopped'
    CUT = 'cut by a planned stop'


@dataclasses.dataclass(frozen=True, slots=True)
class CutRequest:
    """A request whose connection ended without a complete response.

    ``stop`` is the stop of its host that it fell into, if any.
    """

    sent: SentRequest
    cut: ConnectionCut
    fate: Fate
    stop: Disruption | None


def planned_stops_cut_nothing(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that a stopped host answers each request that it has read whole."""
    cuts = list(judge_cuts(ledger, bounds))
    violating = [each for each in cuts if each.fate is Fate.CUT]
    at_other_times = [
        each
        for each in cuts
        if each.fate is Fate.NO_STOP and _is_passed_on(ledger, each.sent)
    ]
    if len(at_other_times) > MAX_CUT_AT_OTHER_TIMES:
        violating.extend(at_other_times)
    for lost in violating:
        yield _violation(ledger, lost)


def judge_cuts(ledger: Ledger, bounds: Bounds) -> Iterator[CutRequest]:
    """Yield all requests that were cut, and whether that is allowed."""
    for identity, outcome in ledger.outcome_by_id.items():
        if isinstance(outcome, ConnectionCut):
            sent = ledger.sent_by_id[identity]
            stop = _stop_of(ledger, bounds, sent, outcome)
            fate = _fate(ledger, bounds, sent, outcome, stop)
            yield CutRequest(sent, outcome, fate, stop)


def _fate(
    ledger: Ledger,
    bounds: Bounds,
    sent: SentRequest,
    cut: ConnectionCut,
    stop: Disruption | None,
) -> Fate:
    whole_at = ledger.whole_at_by_id.get(sent.identity, math.inf)
    crosses = cut.at <= whole_at + LOSS_SLACK_S
    if whole_at == math.inf or (crosses and not _is_passed_on(ledger, sent)):
        return Fate.CROSSED
    if _is_disrupted(ledger, sent.at - bounds.reconnect_s, cut.at):
        return Fate.DISRUPTED
    if cut.at >= sent.expires_at:
        return Fate.EXPIRED
    if stop is None:
        return Fate.NO_STOP
    late_at = stop.began_at + AT_WORK_SHARE * bounds.grace_s
    is_early = whole_at <= stop.began_at + EARLY_S
    if is_early and _works_at(ledger, sent, late_at):
        return Fate.AT_WORK
    return Fate.CUT


def _stop_of(
    ledger: Ledger, bounds: Bounds, sent: SentRequest, cut: ConnectionCut
) -> Disruption | None:
    counts_s = bounds.grace_s + AFTER_GRACE_S
    stops = [
        stop
        for stop in ledger.disruptions
        if stop.planned
        and sent.host in stop.subjects
        and stop.began_at <= cut.at
        and sent.at <= stop.began_at + counts_s
    ]
    return max(stops, key=lambda stop: stop.began_at, default=None)


def _is_disrupted(ledger: Ledger, since: float, until: float) -> bool:
    return any(
        not disruption.planned and disruption.overlaps(since, until)
        for disruption in ledger.disruptions
    )


def _is_passed_on(ledger: Ledger, sent: SentRequest) -> bool:
    return bool(ledger.target_requests_by_id.get(sent.identity))


def _works_at(ledger: Ledger, sent: SentRequest, at: float) -> bool:
    """Return whether the last target of a request was at work at a time."""
    runs = ledger.runs(sent.identity)
    if not runs:
        return False
    last = max(runs, key=lambda run: run.at)
    return last.ended_at is None or last.ended_at >= at


def _violation(ledger: Ledger, each: CutRequest) -> Violation:
    sent, cut = each.sent, each.cut
    began_at = sent.at if each.stop is None else each.stop.began_at
    requests = ledger.target_requests_by_id.get(sent.identity, ())
    fate = each.fate.value
    detail = ', '.join(
        (
            f'{sent.host} {sent.path} {fate}',
            _show('sent', sent.at, began_at),
            _show('whole', ledger.whole_at_by_id[sent.identity], began_at),
            *(_show_target(request, began_at) for request in requests),
            _show('cut', cut.at, began_at),
            _show('expires', sent.expires_at, began_at),
            cut.reason,
        )
    )
    promise = PROMISE if requests else LATE_CLOSE
    return Violation(promise, sent.identity, detail)


def _show_target(request: TargetRequest, since: float) -> str:
    what = 'prefill' if request.prefill else 'run'
    target = request.taken.target
    began = _show(f'{what} at {target} began', request.at, since)
    ended_at = math.inf if request.ended_at is None else request.ended_at
    return '; '.join((began, _show('ended', ended_at, since)))


def _show(what: str, at: float, since: float) -> str:
    after_s = at - since
    return f'{what} {after_s:.3f} s'
