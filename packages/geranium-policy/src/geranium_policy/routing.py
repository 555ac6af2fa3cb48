"""Routing: which engine runs a request."""

import dataclasses
import random
from collections.abc import Sequence
from typing import TypeAlias

from .cost_routing import CostRouter, EngineChoice, LeastCost
from .engine_views import EngineView
from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """Baseline: each engine in turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Baseline: the engine with the fewest sequences in its last report."""


@dataclasses.dataclass(frozen=True, slots=True)
class RandomOfTwo:
    """Baseline: of two random engines the one with fewer sequences."""


RoutingPolicy: TypeAlias = RoundRobin | LeastLoaded | RandomOfTwo | LeastCost


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a router.

    ``seed`` should differ between daemons, so that they don't choose alike.
    """

    policy: RoutingPolicy = dataclasses.field(default_factory=LeastCost)
    seed: int = 0


class Router:
    """Chooses an engine for each request."""

    def __init__(self, settings: RouterSettings) -> None:
        self._policy = settings.policy
        self._source = random.Random(settings.seed)
        self._turn = settings.seed
        if isinstance(settings.policy, LeastCost):
            self._cost_router = CostRouter(settings.policy, self._source)

    def choose(
        self,
        profile: RequestProfile,
        views: Sequence[EngineView],
        now: float,
    ) -> EngineChoice | None:
        """Return where the request is to run, ``None`` if nowhere.

        ``views`` are the engines of the request's service; those that are
        not accepting are left out. The choice is not counted: call
        :meth:`EngineView.record_dispatch` on the chosen view (and on the
        prefill engine's) once the request is sent.
        """
        accepting = [view for view in views if view.accepting]
        if not accepting:
            return None
        match self._policy:
            case RoundRobin():
                self._turn += 1
                view = accepting[self._turn % len(accepting)]
                return _plain_choice(view, 'its turn')
            case LeastLoaded():
                return _plain_choice(_least_loaded(accepting), 'least loaded')
            case RandomOfTwo():
                size = min(2, len(accepting))
                pair = self._source.sample(accepting, size)
                return _plain_choice(_least_loaded(pair), 'better of two')
            case LeastCost():
                return self._cost_router.choose(profile, accepting, now)


def _plain_choice(view: EngineView, reason: str) -> EngineChoice:
    return EngineChoice(view.engine, None, None, (), reason)


def _least_loaded(views: Sequence[EngineView]) -> EngineView:
    return min(views, key=_reported_sequences)


def _reported_sequences(view: EngineView) -> int:
    if view.load is None:
        return 0
    return view.load.running + view.load.waiting
