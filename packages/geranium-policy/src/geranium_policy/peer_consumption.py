"""Consumption that peer daemons have reported."""

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from .consumption import ConsumptionReport, ConsumptionSettings


@dataclasses.dataclass(frozen=True, slots=True)
class ServedByPeer:
    """Cost that a peer has served since its previous report."""

    served_by_team: Mapping[str, float]
    tail_served: float
    tail_teams: int


class PeerConsumption:
    """Keeps the peers' last reports and computes what each one adds."""

    def __init__(self, settings: ConsumptionSettings) -> None:
        self._settings = settings
        self._peers_by_daemon: dict[str, _Peer] = {}

    def apply(self, report: ConsumptionReport, now: float) -> ServedByPeer:
        """Apply a report and return the cost served since the previous one.

        A peer's first report sets the baseline and adds no cost, so teams
        are not charged for what the peer served before it was known.
        """
        self._prune_silent(now)
        peer = self._peers_by_daemon.get(report.daemon)
        if peer is None:
            peer = _Peer(report, self._settings)
            self._peers_by_daemon[report.daemon] = peer
        return peer.apply(report, now)

    def reports(self, now: float) -> Iterator[ConsumptionReport]:
        """Yield the last report of each peer that has not timed out."""
        oldest = now - self._settings.peer_timeout_s
        for peer in self._peers_by_daemon.values():
            if peer.received_at > oldest:
                yield peer.report

    def _prune_silent(self, now: float) -> None:
        oldest = now - self._settings.peer_retention_s
        silent = [
            daemon
            for daemon, peer in self._peers_by_daemon.items()
            if peer.received_at < oldest
        ]
        for daemon in silent:
            self._peers_by_daemon.pop(daemon)


class _Peer:
    """A peer's last report and cumulative counts.

    Counts are kept for the same number of teams as on the peer and evicted
    in the same order, so every count that the peer continues is still known.
    """

    def __init__(
        self,
        report: ConsumptionReport,
        settings: ConsumptionSettings,
    ) -> None:
        self.report = report
        self.received_at = float('-inf')
        self._max_teams = settings.max_counted_teams
        self._served_by_team = collections.OrderedDict(
            (team, consumption.served)
            for team, consumption in report.large_by_team.items()
        )

    def apply(self, report: ConsumptionReport, now: float) -> ServedByPeer:
        tail_served = _growth(self.report.tail.served, report.tail.served)
        self.report = report
        self.received_at = now
        return ServedByPeer(
            served_by_team={
                team: self._count(team, consumption.served)
                for team, consumption in report.large_by_team.items()
            },
            tail_served=tail_served,
            tail_teams=report.tail_teams,
        )

    def _count(self, team: str, served: float) -> float:
        growth = _growth(self._served_by_team.get(team, 0), served)
        self._served_by_team[team] = served
        self._served_by_team.move_to_end(team)
        while len(self._served_by_team) > self._max_teams:
            self._served_by_team.popitem(last=False)
        return growth


def _growth(before: float, served: float) -> float:
    # A count decreases only if the daemon has restarted.
    return served - before if served >= before else served
