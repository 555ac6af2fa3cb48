"""Polls engines for their load, one task an engine."""

import asyncio

from geranium_coordination import Clock
from geranium_model import Engine

from .engines import EngineClient
from .exceptions import TargetError
from .fleet import Fleet, TargetLink
from .settings import TargetSettings


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
        links_by_name = self._fleet.links_by_name
        for gone in self._tasks_by_name.keys() - links_by_name.keys():
            self._tasks_by_name.pop(gone).cancel()
        for name, link in links_by_name.items():
            if name in self._tasks_by_name:
                continue
            if isinstance(link.target, Engine):
                probing = group.create_task(self._probe(name))
                self._tasks_by_name[name] = probing

    async def _probe(self, name: str) -> None:
        while True:
            link = self._fleet.links_by_name.get(name)
            if link is not None and isinstance(link.target, Engine):
                await self._probe_once(link, link.target)
            await asyncio.sleep(self._settings.load_interval_s)

    async def _probe_once(self, link: TargetLink, engine: Engine) -> None:
        try:
            link.load = await self._client.load(engine, self._clock.now())
        except TargetError as error:
            link.last_error = str(error)
