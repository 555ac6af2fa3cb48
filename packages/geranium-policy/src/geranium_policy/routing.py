"""Choice of the engine that runs a request."""

import dataclasses
import random
from collections.abc import Sequence
from typing import TypeAlias

from .cost_routing import CostRouter, EngineChoice, LeastCost
from .engine_views import EngineView
from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """Baseline: cycle through the engines."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Baseline: choose the engine with the fewest reported sequences."""


@dataclasses.dataclass(frozen=True, slots=True)
class RandomOfTwo:
    """Baseline: choose the less loaded of two random engines."""


RoutingPolicy: TypeAlias = RoundRobin | LeastLoaded | RandomOfTwo | LeastCost


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a router.

    ``seed`` should differ between daemons, so that their choices differ.
    """

    policy: RoutingPolicy = dataclasses.field(default_factory=LeastCost)
    seed: int = 0


class Router:
    """Chooses an engine for each request."""

    def __init__(self, settings: RouterSettings) -> None:
        self._policy = settings.policy
        self._source = random.Random(settings.seed)
        self._next_index = settings.seed
        if isinstance(settings.policy, LeastCost):
            self._cost_router = CostRouter(settings.policy, self._source)

    def choose(
        self,
        profile: RequestProfile,
        views: Sequence[EngineView],
        now: float,
    ) -> EngineChoice | None:
        """Return the engine choice, or ``None`` if no engine is accepting.

        ``views`` are the engines of the request's service. Engines that are
        not accepting are skipped. The choice is not recorded: call
        :meth:`EngineView.record_dispatch` on the chosen view (and on the
        prefill engine's) once the request is sent.
        """
        accepting = [view for view in views if view.accepting]
        if not accepting:
            return None
        match self._policy:
            case RoundRobin():
                self._next_index += 1
                view = accepting[self._next_index % len(accepting)]
                return _baseline_choice(view, 'its turn')
            case LeastLoaded():
                return _baseline_choice(
                    _least_loaded(accepting), 'least loaded'
                )
            case RandomOfTwo():
                size = min(2, len(accepting))
                pair = self._source.sample(accepting, size)
                return _baseline_choice(_least_loaded(pair), 'better of two')
            case LeastCost():
                return self._cost_router.choose(profile, accepting, now)


def _baseline_choice(view: EngineView, reason: str) -> EngineChoice:
    return EngineChoice(view.engine, None, None, (), reason)


def _least_loaded(views: Sequence[EngineView]) -> EngineView:
    return min(views, key=_reported_sequences)


def _reported_sequences(view: EngineView) -> int:
    if view.load is None:
        return 0
    return view.load.running + view.load.waiting
