"""Hosts wait for targets that are silent for some time, or ask another."""

from collections.abc import Iterator
from http import HTTPStatus

from geranium_platform_standins import TIMEOUT_MS
from geranium_standins.settings import MS_PER_S

from ..bounds import Bounds
from ..observations import (
    ConnectionCut,
    Ledger,
    Outcome,
    RequestKind,
    Response,
    SentRequest,
    TargetRequest,
)
from ..service_faults import FELL_SILENT, FULL, SLOW_PREFILL
from .violation import Violation

REPEATABLE = frozenset((RequestKind.SAFE, RequestKind.RESUMABLE))
MAX_GIVEN_UP = 3  # requests in a run
# Faults of targets that go on with the requests they run.
SOUND_FAULTS = frozenset(
    f'target {fault}' for fault in (FELL_SILENT, FULL, SLOW_PREFILL)
)


def silent_targets_are_waited_for(
    ledger: Ledger, bounds: Bounds
) -> Iterator[Violation]:
    """Check that no repeatable request is given up at a sound target.

    The target worked on the request until the host closed the connection,
    before the deadline, and the caller got no response of a target. A host
    with a fault is excused.
    """
    given_up = [
        identity
        for identity, sent in ledger.sent_by_id.items()
        if _is_first_repeatable(sent) and _is_given_up(ledger, sent)
    ]
    if len(given_up) > MAX_GIVEN_UP:
        shown = ', '.join(given_up[: MAX_GIVEN_UP + 1])
        detail = f'{len(given_up)} requests given up, among them {shown}'
        yield Violation('silent target', given_up[0], detail)


def _is_first_repeatable(sent: SentRequest) -> bool:
    return sent.kind in REPEATABLE and sent.began_as is None


def _is_given_up(ledger: Ledger, sent: SentRequest) -> bool:
    outcome = ledger.outcome_by_id.get(sent.identity)
    runs = ledger.runs(sent.identity)
    if outcome is None or not runs or not _lacks_response(outcome):
        return False
    last = max(runs, key=lambda run: run.at)
    hosts = frozenset((sent.host, last.sender.host))
    return (
        outcome.at < sent.at + TIMEOUT_MS / MS_PER_S
        and last.abandoned
        and _is_sound(ledger, last)
        and ledger.was_calm(hosts, sent.at, outcome.at)
    )


def _lacks_response(outcome: Outcome) -> bool:
    match outcome:
        case Response(status=HTTPStatus.BAD_GATEWAY, signature=None):
            return True
        case ConnectionCut():
            return True
        case _:
            return False


def _is_sound(ledger: Ledger, run: TargetRequest) -> bool:
    """Return whether the target of an ended run had no other fault in it."""
    target = run.taken.target
    if run.ended_at is None or target in ledger.left_at_by_target:
        return False
    endpoint = ledger.endpoint_by_target.get(target, target)
    return not any(
        disruption.affects(endpoint, run.at, run.ended_at)
        for disruption in ledger.disruptions
        if disruption.what not in SOUND_FAULTS
    )
