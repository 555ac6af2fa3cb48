"""Placement: which engines hold which models, adapters and versions."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeAlias

from geranium_model import LoadAdapter, LoadModel

LoadCommand: TypeAlias = LoadModel | LoadAdapter


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreSettings:
    """The weight store's rate, which all loads share.

    Args:
        bytes_per_s: Rate at which the store hands out weights.
        max_loads: Loads that run at once; more of them only make each one
            slower, so the others wait.
    """

    bytes_per_s: float = 2e9
    max_loads: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineHoldings:
    """What an engine holds and is loading.

    ``loading`` is the command under way at the engine, ``None`` without one.
    """

    engine: str
    model: LoadModel | None
    adapters: frozenset[LoadAdapter] = frozenset()
    loading: LoadCommand | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WantedHoldings:
    """What an engine should hold: a model's version and adapters."""

    engine: str
    model: LoadModel
    adapters: frozenset[LoadAdapter] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load that is to be ordered now or later.

    Args:
        engine: The engine that loads.
        command: What it loads.
        starts: Whether it may be ordered now.
        ready_at: Estimated instant of its end, in the order of the queue.
    """

    engine: str
    command: LoadCommand
    starts: bool
    ready_at: float


class LoadPlanner:
    """Orders loads so that the weight store is shared in a queue."""

    def __init__(
        self,
        settings: WeightStoreSettings,
        bytes_by_name: Mapping[str, float],
    ) -> None:
        """Take the store's rate and the sizes of models and adapters."""
        self._settings = settings
        self._bytes_by_name = bytes_by_name

    def plan(
        self,
        holdings: Sequence[EngineHoldings],
        wanted: Sequence[WantedHoldings],
        now: float,
    ) -> tuple[Load, ...]:
        """Return the loads that lead to what is wanted, in their order.

        An engine's model is loaded before its adapters and one thing at a
        time. Models that no engine holds come first, because their service
        has no engine. Engines that nothing is wanted of are left alone.
        """
        running = [held for held in holdings if held.loading is not None]
        ready_at = now + sum(map(self._loading_s, running))
        room = self._settings.max_loads - len(running)
        busy = {held.engine for held in running}
        loads = []
        for engine, command in _missing(holdings, wanted):
            ready_at += self._load_s(command)
            starts = room > 0 and engine not in busy
            room -= starts
            busy.add(engine)
            loads.append(Load(engine, command, starts, ready_at))
        return tuple(loads)

    def _loading_s(self, held: EngineHoldings) -> float:
        return 0 if held.loading is None else self._load_s(held.loading)

    def _load_s(self, command: LoadCommand) -> float:
        size = self._bytes_by_name.get(_name(command), 0)
        return size / self._settings.bytes_per_s


def _name(command: LoadCommand) -> str:
    match command:
        case LoadModel():
            return command.model
        case LoadAdapter():
            return command.adapter


def _missing(
    holdings: Sequence[EngineHoldings],
    wanted: Sequence[WantedHoldings],
) -> list[tuple[str, LoadCommand]]:
    held_by_engine = {held.engine: held for held in holdings}
    held_models = {held.model for held in holdings}
    absent_first = sorted(
        wanted,
        key=lambda want: want.model in held_models,
    )
    return [
        (want.engine, command)
        for want in absent_first
        for command in _lacking(want, held_by_engine.get(want.engine))
    ]


def _lacking(
    want: WantedHoldings,
    held: EngineHoldings | None,
) -> Iterator[LoadCommand]:
    if held is None:
        return
    loaded: frozenset[LoadAdapter] = frozenset()
    if held.model == want.model:
        loaded = held.adapters
    elif held.loading != want.model:
        yield want.model
    for adapter in sorted(want.adapters - loaded, key=str):
        if adapter != held.loading:
            yield adapter
