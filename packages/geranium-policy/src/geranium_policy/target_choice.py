"""Load balancing between application targets.

The design assumes short calls with a long-tailed duration. It chooses the
target with the fewest calls per slot and prefers the local zone while that
has spare slots. Callers leave out targets that have just failed the same
request.
"""

import dataclasses
import random
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChoiceSettings:
    """Parameters of the comparison of targets.

    Args:
        cross_zone_load: Cost of a target in another zone, as a load in
            calls per slot.
    """

    cross_zone_load: float = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class TargetState:
    """An application target's state at the time of a choice.

    ``running`` is the known number of calls of all hosts at the target.
    """

    name: str
    same_zone: bool
    slots: int
    running: int
    correction: float


class TargetChooser:
    """Chooses the least loaded target."""

    def __init__(
        self,
        settings: TargetChoiceSettings,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._source = source

    def choose(self, targets: Sequence[TargetState]) -> str | None:
        """Return the chosen target's name, or ``None`` without targets."""
        best = min(targets, key=self._cost, default=None)
        return None if best is None else best.name

    def _cost(self, target: TargetState) -> tuple[float, float]:
        load = (target.running + 1) / max(target.slots, 1)
        load *= target.correction
        if not target.same_zone:
            load += self._settings.cross_zone_load
        return load, self._source.random()
