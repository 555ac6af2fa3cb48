"""Execution of an engine's orders."""

import asyncio

from geranium_model import (
    Drain,
    LoadAdapter,
    LoadModel,
    Resume,
    SetRole,
)

from .batching import Batch
from .cache import KvMemory
from .controls import Controls
from .faults import EngineFaults
from .loader import WeightLoader
from .order_registry import EngineOrder, OrderState
from .settings import CRASH_STATUS, MS_PER_S, EngineSettings
from .state import EngineState, Transition
from .streams import StreamEnd


class OrderRunner:
    """Executes orders; role changes and loads run one at a time.

    The engine accepts no work during a role change or a model load. Sequences
    that are still running when it begins are cut, so drain the engine first.
    """

    def __init__(
        self,
        settings: EngineSettings,
        state: EngineState,
        batch: Batch,
        memory: KvMemory,
        loader: WeightLoader,
    ) -> None:
        self._settings = settings
        self._state = state
        self._batch = batch
        self._memory = memory
        self._loader = loader
        self._transition_lock = asyncio.Lock()

    async def run(
        self,
        order: EngineOrder,
        controls: Controls[EngineFaults],
    ) -> None:
        """Execute an order and mark it as done."""
        if controls.faults.ignore_orders:
            return
        match order.command:
            case Drain():
                self._state.is_draining = True
                await self._batch.sequence_table.wait_until_idle()
            case Resume():
                self._state.is_draining = False
            case SetRole() | LoadModel() | LoadAdapter():
                async with self._transition_lock:
                    await self._run_transition(order.command, controls)
        order.state = OrderState.DONE

    async def _run_transition(
        self,
        command: SetRole | LoadModel | LoadAdapter,
        controls: Controls[EngineFaults],
    ) -> None:
        try:
            match command:
                case SetRole():
                    await self._change_role(command, controls)
                case LoadModel():
                    await self._load_model(command, controls)
                case LoadAdapter():
                    await self._load_adapter(command)
        finally:
            self._state.transition = None

    async def _change_role(
        self,
        command: SetRole,
        controls: Controls[EngineFaults],
    ) -> None:
        if self._state.role is command.role:
            return
        self._make_unavailable(Transition.ROLE)
        half_s = self._settings.role_change_ms / MS_PER_S / 2
        await asyncio.sleep(half_s)
        self._crash_if_requested(controls)
        await asyncio.sleep(half_s)
        self._state.role = command.role

    async def _load_model(
        self,
        command: LoadModel,
        controls: Controls[EngineFaults],
    ) -> None:
        state = self._state
        if (state.model, state.version) == (command.model, command.version):
            return
        self._make_unavailable(Transition.LOAD)
        await self._loader.load(command.model, command.version)
        self._crash_if_requested(controls)
        self._memory.clear_cache()
        state.model = command.model
        state.version = command.version

    async def _load_adapter(self, command: LoadAdapter) -> None:
        await self._loader.load(
            command.adapter,
            command.version,
            self._settings.loading.adapter_share,
        )
        self._state.versions_by_adapter[command.adapter] = command.version

    def _make_unavailable(self, transition: Transition) -> None:
        self._state.transition = transition
        for sequence in self._batch.sequence_table.sequences():
            self._batch.end_sequence(sequence, StreamEnd.CUT)

    def _crash_if_requested(self, controls: Controls[EngineFaults]) -> None:
        if controls.faults.crash_on_order:
            self._settings.exit_process(CRASH_STATUS)
