"""Virtual token counters: consumption of each team divided by its weight."""

from collections.abc import Collection, Iterable, Mapping


class VirtualCounters:
    """Fair queueing with virtual token counters.

    The backlogged team with the least counter is served next. A team that
    becomes backlogged again starts from the least counter of the backlogged
    teams, so idle time earns no credit. See Sheng et al., "Fairness in
    Serving Large Language Models" (OSDI 2024). Unlike there, the counters
    also include the cost served by other daemons.

    Args:
        max_lead: Maximum distance of the least counter from the greatest. It
            bounds how long a previously underserved team is preferred.
    """

    def __init__(self, max_lead: float) -> None:
        self._max_lead = max_lead
        self.weight_by_team: Mapping[str, float] = {}
        self._counter_by_team: dict[str, float] = {}
        self._floor: float = 0
        self._greatest: float = 0

    def weight(self, team: str) -> float:
        """Return the team's weight, 1 if none is set."""
        return self.weight_by_team.get(team, 1)

    def counter(self, team: str) -> float:
        """Return the team's counter."""
        return max(
            self._counter_by_team.get(team, self._floor),
            self._greatest - self._max_lead,
        )

    def charge(self, team: str, cost: float) -> None:
        """Add served cost to a team's counter; a negative cost is a refund."""
        counter = self.counter(team) + cost / self.weight(team)
        self._counter_by_team[team] = counter
        self._greatest = max(self._greatest, counter)

    def least(self, teams: Iterable[str]) -> str:
        """Return the team with the least counter; ``teams`` is not empty."""
        return min(teams, key=lambda team: (self.counter(team), team))

    def raise_floor(self, backlogged: Collection[str]) -> None:
        """Raise the floor to the least counter of the backlogged teams.

        Counters of idle teams at or below the floor are dropped, since these
        teams start from the floor.
        """
        if not backlogged:
            return
        least = min(self.counter(team) for team in backlogged)
        self._floor = max(self._floor, least)
        stale = [
            team
            for team, counter in self._counter_by_team.items()
            if counter <= self._floor and team not in backlogged
        ]
        for team in stale:
            self._counter_by_team.pop(team)
