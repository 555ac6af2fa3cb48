"""Virtual counters: what each team has consumed relative to its weight."""

from collections.abc import Collection, Iterable, Mapping


class VirtualCounters:
    """Fair shares by virtual token counters.

    The backlogged team with the least counter is served next. A team that
    becomes backlogged again starts from the least counter of those that
    are, so that idle time is not saved up. See Sheng et al., "Fairness in
    Serving Large Language Models" (OSDI 2024); here the counters also take
    in what other daemons have served.

    Args:
        max_lead: How far the least counter may fall behind the greatest. It
            bounds how long a team that was kept short is preferred after.
    """

    def __init__(self, max_lead: float) -> None:
        self._max_lead = max_lead
        self.weight_by_team: Mapping[str, float] = {}
        self._counter_by_team: dict[str, float] = {}
        self._floor: float = 0
        self._greatest: float = 0

    def weight(self, team: str) -> float:
        """Return the team's weight, 1 where none is set."""
        return self.weight_by_team.get(team, 1)

    def counter(self, team: str) -> float:
        """Return the team's counter."""
        return max(
            self._counter_by_team.get(team, self._floor),
            self._greatest - self._max_lead,
        )

    def charge(self, team: str, cost: float) -> None:
        """Count what the team was served; a negative cost gives it back."""
        counter = self.counter(team) + cost / self.weight(team)
        self._counter_by_team[team] = counter
        self._greatest = max(self._greatest, counter)

    def least(self, teams: Iterable[str]) -> str:
        """Return the team to be served next; there is one."""
        return min(teams, key=lambda team: (self.counter(team), team))

    def raise_floor(self, backlogged: Collection[str]) -> None:
        """Take the floor from the teams that are backlogged anywhere.

        Idle teams below it are forgotten, as they would start from it.
        """
        if not backlogged:
            return
        least = min(self.counter(team) for team in backlogged)
        self._floor = max(self._floor, least)
        forgotten = [
            team
            for team, counter in self._counter_by_team.items()
            if counter <= self._floor and team not in backlogged
        ]
        for team in forgotten:
            self._counter_by_team.pop(team)
