"""Splits of a service's engines between roles, and their utilisation."""

import bisect
import dataclasses
from collections.abc import Iterable, Iterator

from geranium_model import Role

from .forecasts import RoleDemand


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """The number of engines in each role."""

    prefill: int
    decode: int
    mixed: int

    def __str__(self) -> str:
        """Return the numbers of engines as text."""
        return (
            f'{self.prefill} prefill, {self.decode} decode, {self.mixed} mixed'
        )

    @property
    def engines(self) -> int:
        """Total number of engines."""
        return self.prefill + self.decode + self.mixed

    def count(self, role: Role) -> int:
        """Return the number of engines of a role."""
        match role:
            case Role.PREFILL:
                return self.prefill
            case Role.DECODE:
                return self.decode
            case Role.MIXED:
                return self.mixed

    def utilisation(self, demand: RoleDemand, mixed_efficiency: float) -> float:
        """Return the utilisation of the busiest phase, where 1 is saturated.

        Mixed engines serve both phases. They generate as fast as decode
        engines and prefill at ``mixed_efficiency`` of a prefill engine's
        speed, since a prefill pauses for each generation step. Their capacity
        is divided optimally between the phases. The result is infinite if a
        phase with work has no engine.
        """
        mixed_prefill = self.mixed * mixed_efficiency
        prefill = _ratio(demand.prefill, self.prefill + mixed_prefill)
        decode = _ratio(demand.decode, self.decode + self.mixed)
        both = _ratio(
            demand.prefill / mixed_efficiency + demand.decode,
            self.prefill / mixed_efficiency + self.decode + self.mixed,
        )
        return max(prefill, decode, both)

    def changes_to(self, other: 'Split') -> int:
        """Return how many engines must change roles for another split."""
        return sum(
            max(other.count(role) - self.count(role), 0) for role in Role
        )


def count_roles(roles: Iterable[Role]) -> Split:
    """Count the engines in each role."""
    counted = list(roles)
    return Split(
        prefill=counted.count(Role.PREFILL),
        decode=counted.count(Role.DECODE),
        mixed=counted.count(Role.MIXED),
    )


def likely_splits(
    current: Split,
    demand: RoleDemand,
    mixed_efficiency: float,
) -> Iterator[Split]:
    """Yield splits of the same engines, including an optimal one.

    For each number of mixed engines, yields the split with the least
    utilisation and the one nearest to the current split. More prefill engines
    increase the utilisation of the decode phase and decrease that of the
    rest, so the best split is found by bisection.
    """
    yield current
    for mixed in range(current.engines + 1):
        dedicated = current.engines - mixed
        # Without mixed engines, each phase needs at least one engine.
        least = 0 if mixed else 1
        splits = [
            Split(prefill, dedicated - prefill, mixed)
            for prefill in range(least, dedicated - least + 1)
        ]
        if splits:
            crossing = _find_crossing(splits, demand, mixed_efficiency)
            yield from splits[max(crossing - 1, 0) : crossing + 1]
            nearest = max(current.prefill - least, 0)
            yield splits[min(nearest, len(splits) - 1)]


def _find_crossing(
    splits: list[Split],
    demand: RoleDemand,
    mixed_efficiency: float,
) -> int:
    return bisect.bisect_left(
        splits,
        x=True,
        key=lambda split: (
            split.utilisation(demand, mixed_efficiency)
            <= _ratio(demand.decode, split.decode + split.mixed)
        ),
    )


def _ratio(work: float, engines: float) -> float:
    if engines:
        return work / engines
    return float('inf') if work else 0
