"""The request queues of all teams for one service on a daemon."""

from collections.abc import Callable, Iterator

from .admission_settings import QueueBounds
from .queues import QueuedRequest, QueueEntry, TeamQueue, TokenPrices


class TeamQueues:
    """The queued requests of a service by team, bounded in length."""

    def __init__(self, prices: TokenPrices, bounds: QueueBounds) -> None:
        self.queues_by_team: dict[str, TeamQueue] = {}
        self._prices = prices
        self._bounds = bounds

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self.queues_by_team.values())

    def cost_by_team(self) -> dict[str, float]:
        """Return each team's queued cost."""
        return {team: queue.cost for team, queue in self.queues_by_team.items()}

    def cost(self) -> float:
        """Return the queued cost of all teams."""
        return sum(queue.cost for queue in self.queues_by_team.values())

    def cost_before(self, entry: QueueEntry) -> float:
        """Estimate the cost that the entry's team would run before it."""
        queue = self.queues_by_team.get(entry.profile.team)
        return queue.cost_before(entry) if queue else 0

    def first(self, team: str) -> QueuedRequest:
        """Return the team's first request; its queue is not empty."""
        return self.queues_by_team[team].first

    def push(self, entry: QueueEntry) -> tuple[QueueEntry, ...]:
        """Queue an entry and return the entries dropped in its favour.

        If the team's queue exceeds its limit, the team's last entry is
        dropped. If the total exceeds its limit, the last entry of the team
        with the greatest queued cost is dropped.
        """
        team = entry.profile.team
        queue = self.queues_by_team.get(team)
        if queue is None:
            queue = TeamQueue(self._prices, self._bounds.aging_s)
            self.queues_by_team[team] = queue
        queue.push(entry)
        if len(queue) > self._bounds.max_team_length:
            return (self._pop_last(team),)
        if len(self) > self._bounds.max_length:
            return (self._pop_last(self._largest()),)
        return ()

    def pop_first(self, team: str) -> QueueEntry:
        """Remove and return the team's first entry; its queue is not empty."""
        entry = self.queues_by_team[team].pop_first().entry
        self._drop_if_empty(team)
        return entry

    def remove(
        self,
        predicate: Callable[[QueueEntry], bool],
    ) -> tuple[QueueEntry, ...]:
        """Remove and return all entries that match the predicate."""
        return tuple(self._remove(predicate))

    def _remove(
        self,
        predicate: Callable[[QueueEntry], bool],
    ) -> Iterator[QueueEntry]:
        for team, queue in tuple(self.queues_by_team.items()):
            yield from queue.remove(predicate)
            self._drop_if_empty(team)

    def _largest(self) -> str:
        cost_by_team = self.cost_by_team()
        return max(cost_by_team, key=lambda team: (cost_by_team[team], team))

    def _pop_last(self, team: str) -> QueueEntry:
        entry = self.queues_by_team[team].pop_last().entry
        self._drop_if_empty(team)
        return entry

    def _drop_if_empty(self, team: str) -> None:
        if not self.queues_by_team[team]:
            self.queues_by_team.pop(team)
