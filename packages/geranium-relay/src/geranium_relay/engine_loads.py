"""Estimates the load of engines from local and peer data."""

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
    """Requests running or queued at an engine, and the tokens ahead.

    ``queued_tokens`` are prefilled before a new request of a given rank.
    """

    running: int
    queued_tokens: float


class EngineLoads:
    """Combines the loads of this host and of its peers.

    Args:
        loads: Holds both.
        settings: How the age of peer loads reduces their weight.
        mean_update_age_s: Returns the mean age of the peers' loads.
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
        """Return the load ahead of a request of a rank, by engine key."""
        local_by_key = self._loads.local_loads(now)
        peers_by_key = self._loads.peer_loads(now)
        queued_by_key = self._peer_tokens(rank, targets_by_key, peers_by_key)
        load_by_key = {}
        for key, queued in queued_by_key.items():
            local = local_by_key.get(key, IDLE)
            peer = peers_by_key.get(key, IDLE)
            load_by_key[key] = EngineLoad(
                local.running + peer.running,
                local.ahead_of(rank) + queued,
            )
        return load_by_key

    def _peer_tokens(
        self,
        rank: int,
        targets_by_key: Mapping[str, Target],
        peers_by_key: Mapping[str, TargetLoad],
    ) -> dict[str, float]:
        """Return the peers' tokens, shrunk toward the mean of each stage."""
        by_stage: collections.defaultdict[
            Stage | None,
            dict[str, float],
        ] = collections.defaultdict(dict)
        for key, target in targets_by_key.items():
            peer_tokens = peers_by_key.get(key, IDLE).ahead_of(rank)
            by_stage[target.stage][key] = peer_tokens
        weight = report_weight(self._settings, self._mean_update_age_s())
        shrunk_by_key: dict[str, float] = {}
        for tokens_of_stage in by_stage.values():
            shrunk_by_key.update(shrink_to_mean(tokens_of_stage, weight))
        return shrunk_by_key
