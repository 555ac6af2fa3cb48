"""What is under way at engines, as far as a host can know it."""

import collections
import dataclasses
from collections.abc import Callable, Mapping

from geranium_policy.stale_loads import (
    StaleLoadSettings,
    report_weight,
    shrink_to_mean,
)

from .load_tracker import IDLE, LoadTracker, TargetLoad
from .targets import Stage, Target


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Requests that run or wait at an engine, and tokens that it reads first.

    The tokens are those ahead of a request of one rank.
    """

    running: int
    queued_tokens: float


class EngineLoads:
    """Puts own and told loads together.

    Args:
        loads: Where both stand.
        settings: How loads grow stale.
        mean_update_age_s: Returns the mean age of what other hosts told.
    """

    def __init__(
        self,
        loads: LoadTracker,
        settings: StaleLoadSettings,
        mean_update_age_s: Callable[[], float],
    ) -> None:
        self._loads = loads
        self._settings = settings
        self._mean_update_age_s = mean_update_age_s

    def ahead_of(
        self,
        rank: int,
        targets_by_key: Mapping[str, Target],
        now: float,
    ) -> dict[str, EngineLoad]:
        """Return the load of each engine ahead of a rank, by key."""
        own_by_key = self._loads.local_loads(now)
        told_by_key = self._loads.peer_loads(now)
        queued_by_key = self._told_tokens(rank, targets_by_key, told_by_key)
        found = {}
        for key, queued in queued_by_key.items():
            own = own_by_key.get(key, IDLE)
            told = told_by_key.get(key, IDLE)
            found[key] = EngineLoad(
                own.running + told.running,
                own.ahead_of(rank) + queued,
            )
        return found

    def _told_tokens(
        self,
        rank: int,
        targets_by_key: Mapping[str, Target],
        told_by_key: Mapping[str, TargetLoad],
    ) -> dict[str, float]:
        """Return the told tokens, drawn to the mean of each stage."""
        by_stage: collections.defaultdict[
            Stage | None,
            dict[str, float],
        ] = collections.defaultdict(dict)
        for key, target in targets_by_key.items():
            told = told_by_key.get(key, IDLE).ahead_of(rank)
            by_stage[target.stage][key] = told
        trust = report_weight(self._settings, self._mean_update_age_s())
        drawn_by_key: dict[str, float] = {}
        for told_of_stage in by_stage.values():
            drawn_by_key.update(shrink_to_mean(told_of_stage, trust))
        return drawn_by_key
