"""Hosts that are cut from all targets serve their callers all the same."""

import dataclasses
from collections.abc import Iterator

from ..bounds import Bounds
from ..observations import (
    STORE,
    CallerLeft,
    Disruption,
    Ledger,
    Outcome,
    SentRequest,
    was_served,
)
from ..target_links import CUT_FROM_TARGETS
from .violation import Violation

MIN_SHARE = 2 / 3  # of what the other hosts serve
FAILURES_BORNE = 10
FAILURE_SHARE_BORNE = 0.02  # of the requests at cut hosts


@dataclasses.dataclass(slots=True)
class _Tally:
    served: int = 0
    total: int = 0

    def count(self, served: bool) -> None:
        self.served += served
        self.total += 1

    @property
    def share(self) -> float:
        return self.served / self.total if self.total else 0


def cut_hosts_serve(ledger: Ledger, bounds: Bounds) -> Iterator[Violation]:
    """Check that cut hosts serve two thirds of what the others serve.

    A cut counts from ``reconnect_s`` after it began. Requests at hosts that
    are affected by other faults don't count, nor any while the store is, nor
    those for which there was no host without a fault that could take them.
    """
    cut, uncut = _Tally(), _Tally()
    faults = _Faults(ledger, bounds)
    for sent, outcome in _counted(ledger, faults):
        if faults.cut(sent) and faults.leave_a_host(sent):
            cut.count(was_served(outcome))
        elif faults.cut_others(sent):
            uncut.count(was_served(outcome))
    failed = cut.total - cut.served
    borne = FAILURES_BORNE + FAILURE_SHARE_BORNE * cut.total
    if failed > borne and cut.share < MIN_SHARE * uncut.share:
        yield Violation(
            'cut hosts',
            'all',
            f'{cut.served} of {cut.total} served at cut hosts, '
            f'{uncut.served} of {uncut.total} at the others',
        )


def _counted(
    ledger: Ledger, faults: '_Faults'
) -> Iterator[tuple[SentRequest, Outcome]]:
    for identity, sent in ledger.sent_by_id.items():
        outcome = ledger.outcome_by_id.get(identity)
        if outcome is not None and not faults.excuse(sent, outcome):
            yield sent, outcome


class _Faults:
    """The cuts and the other faults around a request."""

    def __init__(self, ledger: Ledger, bounds: Bounds) -> None:
        self._ledger = ledger
        self._bounds = bounds
        self._hosts = frozenset(
            sent.host for sent in ledger.sent_by_id.values()
        )
        self._cuts: list[Disruption] = []
        self._others: list[Disruption] = []
        for disruption in ledger.disruptions:
            is_cut = disruption.what == CUT_FROM_TARGETS
            (self._cuts if is_cut else self._others).append(disruption)

    def excuse(self, sent: SentRequest, outcome: Outcome) -> bool:
        """Return whether a request does not count."""
        if isinstance(outcome, CallerLeft) or sent.probed_version is not None:
            return True
        changes = self._ledger.changes
        if any(sent.key in change.withdrawn_keys for change in changes):
            return True
        subjects = frozenset((sent.host, STORE))
        since = sent.at - self._bounds.reconnect_s
        return any(
            not subjects.isdisjoint(disruption.subjects)
            and disruption.overlaps(since, sent.at)
            for disruption in self._others
        )

    def cut(self, sent: SentRequest) -> bool:
        """Return whether the host of a request has been cut for a while."""
        return any(
            sent.host in cut.subjects
            and cut.began_at + self._bounds.reconnect_s <= sent.at
            and sent.at <= cut.ended_at
            for cut in self._cuts
        )

    def leave_a_host(self, sent: SentRequest) -> bool:
        """Return whether a host had no fault at the time of a request."""
        affected = frozenset[str]().union(
            *(
                disruption.subjects
                for disruption in self._ledger.disruptions
                if disruption.overlaps(sent.at, sent.at)
            )
        )
        return not self._hosts <= affected

    def cut_others(self, sent: SentRequest) -> bool:
        """Return whether only other hosts were cut lately."""
        since = sent.at - self._bounds.reconnect_s
        subjects = [
            cut.subjects for cut in self._cuts if cut.overlaps(since, sent.at)
        ]
        return bool(subjects) and all(
            sent.host not in cut_hosts for cut_hosts in subjects
        )
