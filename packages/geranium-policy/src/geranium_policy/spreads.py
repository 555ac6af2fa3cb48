"""Strategies that keep daemons with equal views from herding on an engine."""

import dataclasses
import hashlib
import random
from collections.abc import Sequence
from typing import TypeAlias

from .costs import CostEstimate


@dataclasses.dataclass(frozen=True, slots=True)
class Cheapest:
    """Choose the cheapest engine; daemons with equal views herd on it."""


@dataclasses.dataclass(frozen=True, slots=True)
class NearEqual:
    """Choose at random among the engines whose cost is near the least.

    A cost is near if it is at most ``1 + share`` times the least cost plus
    ``margin_s``.
    """

    share: float = 0.1
    margin_s: float = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class BestOfSample:
    """Choose the cheapest of ``size`` engines sampled at random."""

    size: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedFirst:
    """Prefer the engines that a rendezvous hash assigns to this daemon.

    Engines are ranked by a hash of ``daemon``, the daemon's unique name, and
    the engine's name. Engines that rank above the median cost ``handicap_s``
    more.
    """

    daemon: str
    handicap_s: float = 0.05


Spread: TypeAlias = Cheapest | NearEqual | BestOfSample | OwnedFirst


class Picker:
    """Picks one of several estimates by the configured strategy."""

    def __init__(self, spread: Spread, source: random.Random) -> None:
        self._spread = spread
        self._source = source
        self._ranks_by_engine: dict[str, int] = {}

    def pick(self, estimates: Sequence[CostEstimate]) -> int:
        """Return the index of the chosen estimate; there is at least one."""
        match self._spread:
            case Cheapest():
                return _cheapest(estimates, range(len(estimates)))
            case NearEqual():
                return self._pick_near(self._spread, estimates)
            case BestOfSample():
                size = min(self._spread.size, len(estimates))
                sample = self._source.sample(range(len(estimates)), size)
                return _cheapest(estimates, sample)
            case OwnedFirst():
                return self._pick_owned(self._spread, estimates)

    def _pick_near(
        self,
        spread: NearEqual,
        estimates: Sequence[CostEstimate],
    ) -> int:
        least_s = min(estimate.cost_s for estimate in estimates)
        bound_s = least_s * (1 + spread.share) + spread.margin_s
        near = [
            position
            for position, estimate in enumerate(estimates)
            if estimate.cost_s <= bound_s
        ]
        return self._source.choice(near)

    def _pick_owned(
        self,
        spread: OwnedFirst,
        estimates: Sequence[CostEstimate],
    ) -> int:
        ranks = [
            self._rank(spread.daemon, estimate.engine) for estimate in estimates
        ]
        middle = sorted(ranks)[len(ranks) // 2]
        costs = [
            estimate.cost_s + spread.handicap_s * (rank > middle)
            for estimate, rank in zip(estimates, ranks, strict=True)
        ]
        return costs.index(min(costs))

    def _rank(self, daemon: str, engine: str) -> int:
        rank = self._ranks_by_engine.get(engine)
        if rank is None:
            digest = hashlib.blake2b(f'{daemon}/{engine}'.encode())
            rank = int.from_bytes(digest.digest()[:8])
            self._ranks_by_engine[engine] = rank
        return rank


def _cheapest(
    estimates: Sequence[CostEstimate],
    positions: Sequence[int],
) -> int:
    return min(positions, key=lambda position: estimates[position].cost_s)
