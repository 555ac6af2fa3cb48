"""Splits: how many engines have which role, and how well that fits."""

import dataclasses
import math
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

        Mixed engines take either phase, at ``mixed_efficiency`` of the speed
        of an engine that has one. Infinite where a phase has no engine.
        """
        mixed = mixed_efficiency * self.mixed
        return max(
            _ratio(
                demand.prefill + demand.decode,
                self.prefill + self.decode + mixed,
            ),
            _ratio(demand.prefill, self.prefill + mixed),
            _ratio(demand.decode, self.decode + mixed),
        )

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

    For each number of mixed engines these are the ones nearest to the
    current split, at most two, so that their number grows with the engines
    and not with their square.
    """
    yield current
    for mixed in range(current.engines + 1):
        apart = current.engines - mixed
        low, high = _prefill_bounds(demand, apart, mixed * mixed_efficiency)
        wanted = {low, high}
        if low <= current.prefill <= high:
            wanted = {current.prefill}
        # Without mixed engines each phase needs one of its own.
        least = 0 if mixed else 1
        for prefill in wanted:
            prefill = min(max(prefill, least), apart - least)
            if prefill >= least:
                yield Split(prefill, apart - prefill, mixed)


def _prefill_bounds(
    demand: RoleDemand,
    apart: int,
    mixed: float,
) -> tuple[int, int]:
    """Return between which numbers neither phase is the busier one."""
    work = demand.prefill + demand.decode
    if not work:
        return 0, apart
    engines = apart + mixed
    least = demand.prefill / work * engines - mixed
    most = apart - (demand.decode / work * engines - mixed)
    return math.ceil(least), math.floor(most)


def _ratio(work: float, engines: float) -> float:
    if engines:
        return work / engines
    return float('inf') if work else 0
