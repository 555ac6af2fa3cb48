"""Guarantees about duties: a single holder and accurate usage reports."""

import itertools
from collections.abc import Iterator

from ..bounds import Bounds
from ..observations import Ledger, ProviderCall, Span
from .violation import Violation

USAGE_TOLERANCE = 0.05  # the error that users accept
MIN_USAGE_TOLERANCE = 2  # requests, for windows with few of them


def one_holder_at_a_time(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that each duty has one holder at a time.

    Two holders must not share a fencing token, tokens must not decrease, and
    holders must not alternate within the term of a lease.
    """
    calls_by_subject: dict[str, list[ProviderCall]] = {}
    for call in ledger.provider_calls:
        calls_by_subject.setdefault(call.subject, []).append(call)
    for subject, calls in calls_by_subject.items():
        counted = [
            one for one in calls if not _just_resumed(ledger, one, bounds)
        ]
        for before, after in itertools.pairwise(counted):
            conflict = _conflict(before, after)
            if conflict is not None:
                yield Violation('one holder', subject, conflict)
        yield from _alternations(subject, counted, bounds)


def _just_resumed(ledger: Ledger, call: ProviderCall, bounds: Bounds) -> bool:
    subjects = frozenset((call.holder,))
    return not ledger.was_calm(subjects, call.at - bounds.resume_s, call.at)


def _conflict(before: ProviderCall, after: ProviderCall) -> str | None:
    if after.fence < before.fence:
        return f'fence {after.fence} after {before.fence}'
    if after.fence == before.fence and after.holder != before.holder:
        holders = f'{before.holder} and {after.holder}'
        return f'fence {after.fence} of {holders}'
    return None


def _alternations(
    subject: str,
    calls: list[ProviderCall],
    bounds: Bounds,
) -> Iterator[Violation]:
    """Yield a violation for holders A, B, A within the term of a lease."""
    for index, last in enumerate(calls):
        recent = [
            one.holder
            for one in calls[:index]
            if last.at - one.at < bounds.lease_s
        ]
        if last.holder not in recent:
            continue
        between = set(recent[recent.index(last.holder) :])
        if between != {last.holder}:
            others = sorted(between - {last.holder})
            detail = f'{last.holder} on both sides of {others}'
            yield Violation('one holder', subject, detail)


def windows_are_reported_once(
    ledger: Ledger,
    bounds: Bounds,
) -> Iterator[Violation]:
    """Check that repeated reports of a window have the same counts."""
    counts_by_window: dict[int, dict[str, int]] = {}
    for call in ledger.provider_calls:
        if call.window is None:
            continue
        first = counts_by_window.setdefault(call.window, call.counts_by_team)
        if first != call.counts_by_team:
            detail = f'{first}, then {call.counts_by_team}'
            yield Violation('window once', str(call.window), detail)


def usage_is_accurate(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    """Check the reported counts of windows without faults."""
    for call in ledger.provider_calls:
        if call.window is None:
            continue
        began_at = call.window * bounds.window_s - ledger.unix_offset_s
        window = Span(began_at, began_at + bounds.window_s)
        if not ledger.calm.holds(window):
            continue
        truth = _count_started(ledger, window)
        reported = sum(call.counts_by_team.values())
        slack = max(USAGE_TOLERANCE * truth, MIN_USAGE_TOLERANCE)
        if abs(reported - truth) > slack:
            detail = f'{reported} instead of {truth}'
            yield Violation('usage', str(call.window), detail)


def _count_started(ledger: Ledger, window: Span) -> int:
    return sum(
        any(
            run.ran_at is not None and window.since <= run.ran_at < window.until
            for run in ledger.runs(identity)
        )
        for identity in ledger.sent_by_id
    )
