"""Manages the control duties that this daemon may hold under leases."""

import asyncio

from geranium_coordination import (
    Duty,
    DutyContext,
    DutyRunner,
    DutySettings,
    JournalContext,
    JournalSettings,
    StoreError,
    release_predecessors,
)
from geranium_model import Configuration, ModelService

from ..backends import ControlTransport, TargetTransport
from ..platform import PlatformClient
from ..process import get_logger
from ..state import Context
from .director import EngineDirector
from .engine_orders import EngineOrderSender
from .reporter import REPORTER_DUTY, UsageDuty

_DIRECTOR_PREFIX = 'director'


class PlatformHosts:
    """Provides the platform's host list to the order journals."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def listed_hosts(self) -> frozenset[str]:
        """Return the names of the live and leaving hosts.

        Raises:
            StoreError: If the list can't be read.
        """
        return frozenset(host.name for host in await self._platform.hosts())


class DutyManager:
    """Competes for the leases of the duties of all configured services."""

    def __init__(self, context: Context, targets: TargetTransport) -> None:
        self._context = context
        self._log = get_logger()
        self._journals = JournalContext(
            context.platform,
            context.clock,
            JournalSettings(),
            PlatformHosts(context.platform),
            context.rng,
        )
        self._sender = EngineOrderSender(
            ControlTransport(),
            targets,
            context.clock,
        )
        self._director_names: set[str] = set()
        self.runner = DutyRunner(
            DutyContext(
                context.platform,
                context.clock,
                DutySettings(),
                context.settings.host,
                self._member_hosts,
                context.rng,
            ),
        )

    async def run(self) -> None:
        """Compete for duties until cancelled, then release all leases."""
        await self._release_predecessors()
        self.runner.add(Duty(REPORTER_DUTY, UsageDuty(self._context).run))
        async with asyncio.TaskGroup() as group:
            group.create_task(self._reconcile_periodically())
            group.create_task(self.runner.run())

    async def _release_predecessors(self) -> None:
        while True:
            try:
                await release_predecessors(
                    self._journals,
                    self._context.settings.host,
                )
            except StoreError as error:
                self._log.warning('predecessors_not_released', error=str(error))
                await asyncio.sleep(
                    self._context.settings.platform.retry_interval_s,
                )
            else:
                return

    async def _reconcile_periodically(self) -> None:
        while True:
            await self._reconcile(self._context.follower.configuration)
            await asyncio.sleep(1)

    async def _reconcile(self, configuration: Configuration) -> None:
        wanted = {
            f'{_DIRECTOR_PREFIX}-{service.name}': service
            for service in configuration.services_by_name.values()
            if isinstance(service, ModelService)
        }
        for gone in self._director_names - wanted.keys():
            await self.runner.remove(gone)
        for name in wanted.keys() - self._director_names:
            director = self._build_director(wanted[name])
            self.runner.add(Duty(name, director.run))
        self._director_names = set(wanted)

    def _build_director(self, service: ModelService) -> EngineDirector:
        return EngineDirector(
            service.name,
            self._context,
            self._journals,
            self._sender,
        )

    def _member_hosts(self) -> frozenset[str]:
        members = self._context.directory.members()
        return frozenset(member.host for member in members)
