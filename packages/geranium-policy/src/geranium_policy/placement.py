"""Placement of models, adapters and versions on engines."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeAlias

from geranium_model import LoadAdapter, LoadModel

LoadCommand: TypeAlias = LoadModel | LoadAdapter


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreSettings:
    """The bandwidth of the weight store, which all loads share.

    Args:
        bytes_per_s: Total read bandwidth of the store.
        max_loads: Maximum number of concurrent loads. More would only slow
            each other down, so further loads wait.
    """

    bytes_per_s: float = 2e9
    max_loads: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineHoldings:
    """The weights that an engine has loaded and is loading.

    ``loading`` is the load in progress at the engine, ``None`` if there is
    none.
    """

    engine: str
    model: LoadModel | None
    adapters: frozenset[LoadAdapter] = frozenset()
    loading: LoadCommand | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WantedHoldings:
    """The model version and adapters that an engine should have loaded."""

    engine: str
    model: LoadModel
    adapters: frozenset[LoadAdapter] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A planned load.

    Args:
        engine: The engine that loads.
        command: The model or adapter to load.
        starts: Whether the load may start now.
        ready_at: Estimated instant of completion if loads run in order.
    """

    engine: str
    command: LoadCommand
    starts: bool
    ready_at: float


class LoadPlanner:
    """Plans the order of loads from the weight store."""

    def __init__(
        self,
        settings: WeightStoreSettings,
        bytes_by_name: Mapping[str, float],
    ) -> None:
        """Initialise from the store's settings and the sizes of weights."""
        self._settings = settings
        self._bytes_by_name = bytes_by_name

    def plan(
        self,
        holdings: Sequence[EngineHoldings],
        wanted: Sequence[WantedHoldings],
        now: float,
    ) -> tuple[Load, ...]:
        """Return the loads that are needed, in their order.

        An engine loads its model before its adapters, one at a time. Models
        that no engine has loaded come first, since their service has no
        engine. Engines without an entry in ``wanted`` are not changed.
        """
        running = [held for held in holdings if held.loading is not None]
        ready_at = now + sum(map(self._running_load_s, running))
        room = self._settings.max_loads - len(running)
        busy = {held.engine for held in running}
        loads = []
        for engine, command in _ordered_loads(holdings, wanted):
            ready_at += self._load_s(command)
            starts = room > 0 and engine not in busy
            room -= starts
            busy.add(engine)
            loads.append(Load(engine, command, starts, ready_at))
        return tuple(loads)

    def _running_load_s(self, held: EngineHoldings) -> float:
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


def _ordered_loads(
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
        for command in _missing_loads(want, held_by_engine.get(want.engine))
    ]


def _missing_loads(
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
