"""Polls the platform's lists of hosts, targets and presences."""

import asyncio
from collections.abc import Awaitable, Callable

from geranium_coordination import StoreError

from ..process import get_logger
from ..state import Context


class ListPoller:
    """Updates the host directory and the fleet from the platform.

    If a list can't be read, the previous one stays in use.
    """

    def __init__(self, context: Context) -> None:
        self._settings = context.settings
        self._platform = context.platform
        self._presences = context.presences
        self._directory = context.directory
        self._announcer = context.announcer
        self._fleet = context.fleet
        self._telemetry = context.telemetry
        self._log = get_logger()

    async def poll_lists(self) -> None:
        """Poll hosts and targets until cancelled."""
        interval_s = self._settings.targets.list_interval_s
        await self._poll(self.refresh_lists, interval_s)

    async def poll_presences(self) -> None:
        """Poll presences until cancelled."""
        interval_s = self._settings.platform.presence_interval_s
        await self._poll(self.refresh_presences, interval_s)

    async def refresh_lists(self) -> None:
        """Update the lists of hosts and targets once.

        Raises:
            StoreError: If the platform is unavailable.
        """
        self._directory.apply_listing(await self._platform.hosts())
        self._fleet.apply_listing(await self._platform.targets())

    async def refresh_presences(self) -> None:
        """Update the presences and the voters once.

        Raises:
            StoreError: If the platform is unavailable.
        """
        self._directory.apply_presences(await self._presences.list())
        self._announcer.update_voters()

    async def _poll(
        self,
        refresh: Callable[[], Awaitable[None]],
        interval_s: float,
    ) -> None:
        while True:
            try:
                await refresh()
            except StoreError as error:
                self._telemetry.platform_errors.add(1, {'kind': 'list'})
                self._log.warning('list_not_read', error=str(error))
            await asyncio.sleep(interval_s)
