"""Polls engines for load and cache events, with one task per engine."""

import asyncio

from geranium_coordination import Clock
from geranium_policy import CacheCleared

from ..backends import EngineClient
from ..process import TargetError, TargetSettings
from ..state import EngineEntry, Fleet


class LoadProber:
    """Updates the load and the prefix cache index of each engine."""

    def __init__(
        self,
        settings: TargetSettings,
        fleet: Fleet,
        client: EngineClient,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Poll every engine of the fleet until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._reconcile(group)
                await asyncio.sleep(self._settings.load_interval_s)

    def _reconcile(self, group: asyncio.TaskGroup) -> None:
        entries = self._fleet.engine_entries()
        names = {entry.name for entry in entries}
        for gone in self._tasks_by_name.keys() - names:
            self._tasks_by_name.pop(gone).cancel()
        for name in names - self._tasks_by_name.keys():
            task = group.create_task(self._probe(name), name=f'probe {name}')
            self._tasks_by_name[name] = task

    async def _probe(self, name: str) -> None:
        while True:
            entry = self._fleet.entries_by_name.get(name)
            if isinstance(entry, EngineEntry):
                await self._probe_once(entry)
            await asyncio.sleep(self._settings.load_interval_s)

    async def _probe_once(self, entry: EngineEntry) -> None:
        try:
            await self._read_load(entry)
            await self._read_events(entry)
        except TargetError as error:
            entry.last_error = str(error)

    async def _read_load(self, entry: EngineEntry) -> None:
        report = await self._client.load(entry.target, self._clock.now())
        if report.instance != entry.instance:
            entry.instance = report.instance
            entry.cache_seq = 0
            entry.view.prefixes.apply(CacheCleared(), self._clock.now())
        entry.version = report.version
        entry.view.apply_load(report.load)

    async def _read_events(self, entry: EngineEntry) -> None:
        page = await self._client.cache_events(entry.target, entry.cache_seq)
        entry.cache_seq = page.next_seq
        now = self._clock.now()
        for event in page.events:
            entry.view.prefixes.apply(event, now)
