"""Guarantees about keys and versions of the catalogue."""

import math
from collections.abc import Iterator
from http import HTTPStatus

from ..bounds import Bounds
from ..observations import STORE, Change, Ledger, Response, SentRequest
from .violation import Violation


def withdrawn_keys_are_rejected(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that no request runs ``revoke_s`` after its key was withdrawn."""
    withdrawn_at_by_key = {
        key: change.at
        for change in ledger.changes
        for key in change.withdrawn_keys
    }
    for identity, sent in ledger.sent_by_id.items():
        age_s = sent.at - withdrawn_at_by_key.get(sent.key, math.inf)
        if age_s > bounds.revoke_s and ledger.runs(identity):
            detail = f'{sent.key} sent {age_s:.2f} s after its withdrawal'
            yield Violation('withdrawn key', identity, detail)


def versions_never_decrease(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that no process serves an older version after a newer one."""
    seen_by_process: dict[tuple[str, int], tuple[int, float]] = {}
    for at, sent, served in _served_probes(ledger):
        process = sent.host, sent.incarnation
        seen, seen_at = seen_by_process.get(process, (0, at))
        if served > seen:
            seen_by_process[process] = served, at
        elif served < seen and sent.at > seen_at + bounds.rollback_s:
            detail = f'{sent.host} served {served} after {seen}'
            yield Violation('version goes on', sent.identity, detail)


def _served_probes(ledger: Ledger) -> list[tuple[float, SentRequest, int]]:
    """Return the probes that ran: time, request and version, in order."""
    served = []
    for sent in ledger.sent_by_id.values():
        runs = ledger.runs(sent.identity)
        if sent.probed_version is not None and runs:
            served.append((runs[0].at, sent, sent.probed_version))
    return sorted(served, key=lambda one: one[0])


def versions_are_applied(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that hosts without faults apply each version in time."""
    for sent, outcome in _calm_probes(ledger, bounds):
        current = _version_at(ledger.changes, sent.at - bounds.apply_s)
        if _is_outdated(ledger, sent, outcome, current):
            detail = (
                f'{sent.host}: mark {sent.probed_version}, {outcome.status}'
            )
            yield Violation('version in time', sent.identity, detail)


def _calm_probes(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[tuple[SentRequest, Response]]:
    """Yield the probes with a response whose host had no fault."""
    for sent in ledger.sent_by_id.values():
        outcome = ledger.outcome_by_id.get(sent.identity)
        if sent.probed_version is None or not isinstance(outcome, Response):
            continue
        subjects = frozenset((sent.host, STORE))
        since = sent.at - bounds.reconnect_s - bounds.apply_s
        if ledger.was_calm(subjects, since, outcome.at):
            yield sent, outcome


def _version_at(changes: list[Change], instant: float) -> int:
    versions = [change.version for change in changes if change.at <= instant]
    return max(versions, default=0)


def _is_outdated(
    ledger: Ledger,
    sent: SentRequest,
    outcome: Response,
    current: int,
) -> bool:
    probed_version = sent.probed_version or 0
    if probed_version < current:
        return bool(ledger.runs(sent.identity))
    newest = _version_at(ledger.changes, outcome.at)
    return (
        probed_version == current == newest
        and outcome.status == HTTPStatus.NOT_FOUND
    )
