"""Policies that select engines: the relay's own, and baselines."""

import dataclasses
import itertools
import random
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Protocol, TypeAlias

import geranium_relay as relay
from geranium_policy.prompt_placement import NoEngine, Placement, TooBusy
from geranium_relay.load_tracker import IDLE
from geranium_relay.prefix_cache_index import home_engine

Decision: TypeAlias = Placement | TooBusy | NoEngine


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """The state that a host's policy decides by.

    Args:
        fleet: The targets of the last received list.
        loads: The local loads and the last received loads of peers.
        selector: The relay's target selector with its recorded latencies
            and cached prompts.
        profile: The capacity that all engines have in common.
        clock: The simulated clock.
        source: Breaks ties.
    """

    fleet: relay.Fleet
    loads: relay.LoadTracker
    selector: relay.TargetSelector
    profile: relay.EngineProfile
    clock: Callable[[], float]
    source: random.Random


class Policy(Protocol):
    """Selects engines for the jobs of one host."""

    def choose(self, job: relay.Job, avoid: frozenset[str]) -> Decision:
        """Return where a job goes, or that it is refused."""
        ...


MakePolicy: TypeAlias = Callable[[HostView], Policy]


class RelayPolicy:
    """Selects engines as the product does."""

    def __init__(self, view: HostView) -> None:
        self._selector = view.selector
        self._profile = view.profile

    def choose(self, job: relay.Job, avoid: frozenset[str]) -> Decision:
        """Return where a job goes, or that it is refused."""
        return self._selector.select_engines(job, self._profile, avoid)


class RoundRobin:
    """Selects the decode engines in turn and never refuses for load."""

    def __init__(self, view: HostView) -> None:
        self._view = view
        self._turn = itertools.count(view.source.randrange(FIRST_TURN_LIMIT))

    def choose(self, job: relay.Job, avoid: frozenset[str]) -> Decision:
        """Return where a job goes."""
        engines = _generators(self._view, job, avoid)
        if not engines:
            return NoEngine()
        return _full_prefill(engines[next(self._turn) % len(engines)], job)


class LeastLoaded:
    """Selects the engine with the fewest requests; never refuses for load."""

    def __init__(self, view: HostView) -> None:
        self._view = view

    def choose(self, job: relay.Job, avoid: frozenset[str]) -> Decision:
        """Return where a job goes."""
        view = self._view
        engines = _generators(view, job, avoid)
        if not engines:
            return NoEngine()
        loads = view.loads.total_loads(view.clock())
        return _full_prefill(
            min(
                engines,
                key=lambda engine: (
                    loads.get(engine.key, IDLE).running,
                    view.source.random(),
                ),
            ),
            job,
        )


class PrefixHome:
    """Selects the home engine of a prompt's prefix, the same on all hosts."""

    def __init__(self, view: HostView) -> None:
        self._view = view

    def choose(self, job: relay.Job, avoid: frozenset[str]) -> Decision:
        """Return where a job goes."""
        engines = _generators(self._view, job, avoid)
        prompt = job.arrival.prompt
        if not engines or prompt is None:
            return NoEngine()
        home = home_engine(prompt.parts, engines)
        chosen = [engine for engine in engines if engine.key == home]
        return _full_prefill(chosen[0] if chosen else engines[0], job)


FIRST_TURN_LIMIT = 1000  # hosts start their turns at different engines

POLICIES: Mapping[str, MakePolicy] = MappingProxyType(
    {
        'relay': RelayPolicy,
        'round-robin': RoundRobin,
        'least-loaded': LeastLoaded,
        'prefix-home': PrefixHome,
    },
)


def _generators(
    view: HostView,
    job: relay.Job,
    avoid: frozenset[str],
) -> list[relay.Target]:
    return [
        target
        for target in view.fleet.of_service(job.service)
        if target.stage is not relay.Stage.PREFILL and target.key not in avoid
    ]


def _full_prefill(engine: relay.Target, job: relay.Job) -> Placement:
    prompt = job.arrival.prompt
    tokens = 0 if prompt is None else prompt.tokens
    return Placement(None, engine.key, tokens, 0, 0)
