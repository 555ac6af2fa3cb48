"""Polls engines for their load, one task an engine."""

import asyncio

from geranium_coordination import Clock
from geranium_policy import CacheCleared

from ..backends import EngineClient
from ..process import TargetError, TargetSettings
from ..state import EngineLink, Fleet


class LoadProber:
    """Keeps each engine's last load report in its link."""

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
        """Probe every engine of the fleet until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._reconcile(group)
                await asyncio.sleep(self._settings.load_interval_s)

    def _reconcile(self, group: asyncio.TaskGroup) -> None:
        links = self._fleet.engine_links()
        names = {link.name for link in links}
        for gone in self._tasks_by_name.keys() - names:
            self._tasks_by_name.pop(gone).cancel()
        for name in names - self._tasks_by_name.keys():
            probing = group.create_task(self._probe(name), name=f'probe {name}')
            self._tasks_by_name[name] = probing

    async def _probe(self, name: str) -> None:
        while True:
            link = self._fleet.links_by_name.get(name)
            if isinstance(link, EngineLink):
                await self._probe_once(link)
            await asyncio.sleep(self._settings.load_interval_s)

    async def _probe_once(self, link: EngineLink) -> None:
        try:
            await self._read_load(link)
            await self._read_events(link)
        except TargetError as error:
            link.last_error = str(error)

    async def _read_load(self, link: EngineLink) -> None:
        report = await self._client.load(link.target, self._clock.now())
        if report.instance != link.instance:
            link.instance = report.instance
            link.cache_seq = 0
            link.view.prefixes.apply(CacheCleared(), self._clock.now())
        link.view.apply_load(report.load)

    async def _read_events(self, link: EngineLink) -> None:
        page = await self._client.cache_events(link.target, link.cache_seq)
        link.cache_seq = page.next_seq
        now = self._clock.now()
        for event in page.events:
            link.view.prefixes.apply(event, now)
