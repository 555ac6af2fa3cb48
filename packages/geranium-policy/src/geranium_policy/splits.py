"""Splits: how many engines have which role, and how well that fits."""

import bisect
import dataclasses
from collections.abc import Iterable, Iterator

from geranium_model import Role

from .forecasts import RoleDemand


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Numbers of engines by role."""

    prefill: int
    decode: int
    mixed: int

    def __str__(self) -> str:
        """Return the numbers in words."""
        return (
            f'{self.prefill} prefill, {self.decode} decode, {self.mixed} mixed'
        )

    @property
    def engines(self) -> int:
        """All engines."""
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
        """Return how busy the busiest phase would be, 1 being full.

        Mixed engines take either phase. They generate as fast as decode
        engines and read at ``mixed_efficiency`` of a prefill engine's speed,
        since reading has to stop for each step of generation. The work that
        they take is divided in the best way. Infinite where a phase has no
        engine.
        """
        mixed_reading = self.mixed * mixed_efficiency
        reading = _ratio(demand.prefill, self.prefill + mixed_reading)
        generating = _ratio(demand.decode, self.decode + self.mixed)
        both = _ratio(
            demand.prefill / mixed_efficiency + demand.decode,
            self.prefill / mixed_efficiency + self.decode + self.mixed,
        )
        return max(reading, generating, both)

    def changes_to(self, other: 'Split') -> int:
        """Return how many engines change on the way to another split."""
        return sum(
            max(other.count(role) - self.count(role), 0) for role in Role
        )


def split_of(roles: Iterable[Role]) -> Split:
    """Return the split of engines with these roles."""
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
    """Yield splits of as many engines, a least utilised one among them.

    For each number of mixed engines these are the best split and the one
    nearest to the current split. With more prefill engines generation gets
    busier and the rest less busy, so the best one is found by bisection.
    """
    yield current
    for mixed in range(current.engines + 1):
        apart = current.engines - mixed
        # Without mixed engines each phase needs one of its own.
        least = 0 if mixed else 1
        splits = [
            Split(prefill, apart - prefill, mixed)
            for prefill in range(least, apart - least + 1)
        ]
        if splits:
            crossing = _crossing(splits, demand, mixed_efficiency)
            yield from splits[max(crossing - 1, 0) : crossing + 1]
            nearest = max(current.prefill - least, 0)
            yield splits[min(nearest, len(splits) - 1)]


def _crossing(
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
