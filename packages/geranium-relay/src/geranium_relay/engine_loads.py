"""Estimates the load of engines from local and peer data."""

import collections
from collections.abc import Callable, Iterable, Mapping

from geranium_policy.load_estimates import (
    KnownLoad,
    LoadEstimate,
    PresentLoad,
    present_loads,
)

from .load_tracker import IDLE, LoadTracker
from .targets import Stage, Target


class EngineLoads:
    """Combines the loads of this host and of its peers.

    Args:
        loads: Holds both.
        estimate: How the age of peer loads is taken into account.
        mean_update_age_s: Returns the mean age of the peers' loads.
    """

    def __init__(
        self,
        loads: LoadTracker,
        estimate: LoadEstimate,
        mean_update_age_s: Callable[[], float],
    ) -> None:
        self.mean_update_age_s = mean_update_age_s
        self._loads = loads
        self._estimate = estimate

    def ahead_of(
        self,
        rank: int,
        targets_by_key: Mapping[str, Target],
        rates_by_key: Mapping[str, float],
        now: float,
    ) -> dict[str, PresentLoad]:
        """Return the load ahead of a request of a rank, by engine key.

        The tokens are those that are prefilled before the request.

        Args:
            rank: Rank of the request.
            targets_by_key: The engines.
            rates_by_key: Prompt tokens that each engine prefills a second.
            now: Current time in seconds.
        """
        age_s = self.mean_update_age_s()
        load_by_key: dict[str, PresentLoad] = {}
        for known_by_key in self._known_loads(
            rank, targets_by_key, rates_by_key, now
        ):
            load_by_key.update(
                present_loads(self._estimate, known_by_key, age_s)
            )
        return load_by_key

    def _known_loads(
        self,
        rank: int,
        targets_by_key: Mapping[str, Target],
        rates_by_key: Mapping[str, float],
        now: float,
    ) -> Iterable[Mapping[str, KnownLoad]]:
        """Return the known loads of the engines of each stage."""
        local_by_key = self._loads.local_loads(now)
        peers_by_key = self._loads.peer_loads(now)
        by_stage: collections.defaultdict[
            Stage | None, dict[str, KnownLoad]
        ] = collections.defaultdict(dict)
        for key, target in targets_by_key.items():
            local = local_by_key.get(key, IDLE)
            peers = peers_by_key.get(key, IDLE)
            by_stage[target.stage][key] = KnownLoad(
                local.running,
                local.ahead_of(rank),
                peers.running,
                peers.ahead_of(rank),
                target.slots,
                rates_by_key[key],
            )
        return by_stage.values()
