"""Admission windows: a daemon's share of a service's capacity."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence

from .consumption import ConsumptionReport


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The demand and the weight of one claimant of a capacity."""

    weight: float
    demand: float


def max_min_shares(
    claims: Sequence[Claim],
    capacity: float,
) -> tuple[float, ...]:
    """Divide a capacity by weighted max-min fairness.

    No claimant gets more than its demand. A claimant gets less per unit of
    weight than another only if its demand is met.
    """
    share_by_position: dict[int, float] = {}
    order = sorted(
        range(len(claims)),
        key=lambda position: claims[position].demand / claims[position].weight,
    )
    weight = sum(claim.weight for claim in claims)
    for position in order:
        claim = claims[position]
        fair = capacity * claim.weight / weight
        share_by_position[position] = min(claim.demand, fair)
        capacity -= share_by_position[position]
        weight -= claim.weight
    return tuple(share_by_position[index] for index in range(len(claims)))


def daemon_window(
    local: ConsumptionReport,
    peers: Sequence[ConsumptionReport],
    weight_by_team: Mapping[str, float],
    capacity: float,
) -> float:
    """Return the cost that a daemon may have running.

    The capacity is divided between teams by max-min fairness over their
    backlog on all daemons. Each team's share is divided between daemons in
    proportion to its backlog there. Spare capacity is divided evenly between
    daemons. Each daemon's tail counts as one claimant whose weight is its
    number of teams, at least 1.
    """
    reports = (local, *peers)
    demand_by_team = _sum_demands(reports)
    claims = [
        Claim(weight_by_team.get(team, 1), demand)
        for team, demand in demand_by_team.items()
    ]
    claims.extend(_tail_claim(report) for report in reports)
    shares = max_min_shares(claims, capacity)
    share_by_team = dict(zip(demand_by_team, shares, strict=False))
    spare = capacity - sum(shares)
    return sum(
        _local_shares(local, demand_by_team, share_by_team),
        start=shares[len(demand_by_team)] + spare / len(reports),
    )


def _sum_demands(reports: Sequence[ConsumptionReport]) -> dict[str, float]:
    demand_by_team: dict[str, float] = {}
    for report in reports:
        for team, consumption in report.large_by_team.items():
            demand = demand_by_team.get(team, 0)
            demand_by_team[team] = demand + consumption.backlog
    return demand_by_team


def _tail_claim(report: ConsumptionReport) -> Claim:
    return Claim(max(report.tail_teams, 1), report.tail.backlog)


def _local_shares(
    local: ConsumptionReport,
    demand_by_team: Mapping[str, float],
    share_by_team: Mapping[str, float],
) -> Iterator[float]:
    for team, consumption in local.large_by_team.items():
        if consumption.backlog > 0:
            part = consumption.backlog / demand_by_team[team]
            yield share_by_team[team] * part
