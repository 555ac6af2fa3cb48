"""Choice among application targets.

Answers short calls with a long tail: the target with the fewest calls for
each of its slots, in the own zone while it has slots to spare, and never one
that has just failed the same request.
"""

import dataclasses
import random
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChoiceSettings:
    """How targets are compared.

    Args:
        cross_zone_load: Load, as a share of the slots, that weighs as much
            as leaving the own zone.
    """

    cross_zone_load: float = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class TargetState:
    """An application target at the moment of a choice.

    ``running`` counts the calls that all hosts are known to have there.
    """

    name: str
    same_zone: bool
    slots: int
    running: int
    correction: float


class TargetChooser:
    """Picks the least loaded target."""

    def __init__(
        self,
        settings: TargetChoiceSettings,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._source = source

    def choose(self, targets: Sequence[TargetState]) -> str | None:
        """Return the name of the target to use, ``None`` without targets."""
        best = min(targets, key=self._cost, default=None)
        return None if best is None else best.name

    def _cost(self, target: TargetState) -> tuple[float, float]:
        load = (target.running + 1) / max(target.slots, 1)
        load *= target.correction
        if not target.same_zone:
            load += self._settings.cross_zone_load
        return load, self._source.random()
