"""Keeps the configuration up to date from the platform or from peers."""

import asyncio

from geranium_coordination import (
    ABSENT_VERSION,
    Clock,
    ConfigurationError,
    ConfigurationReplica,
    ConfigurationRepository,
    Fresh,
    select_watchers,
)
from geranium_model import Configuration

from ..hosts import HostDirectory
from ..process import Settings, Telemetry, get_logger

WATCHERS_PER_ZONE = 2
_WATCH_WAIT_S = 1
_PEER_INTERVAL_S = 0.5


class ConfigurationFollower:
    """Keeps this daemon's configuration up to date.

    In each zone, ``WATCHERS_PER_ZONE`` daemons watch the platform, and the
    others receive changes from them. A daemon whose configuration is about to
    become stale watches the platform itself.
    """

    def __init__(
        self,
        settings: Settings,
        repository: ConfigurationRepository,
        replica: ConfigurationReplica,
        directory: HostDirectory,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._repository = repository
        self._directory = directory
        self._telemetry = telemetry
        self._clock = clock
        self._log = get_logger()
        self._store_version = ABSENT_VERSION
        self.replica = replica

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.replica.loaded.configuration

    def is_fresh(self) -> bool:
        """Return whether requests with a key may be accepted now."""
        admission = self.replica.admission(self._clock.now())
        return isinstance(admission, Fresh)

    async def load_initial(self) -> None:
        """Load the configuration, retrying until the platform responds."""
        while True:
            asked_at = self._clock.now()
            try:
                loaded = await self._repository.load()
            except ConfigurationError as error:
                self._record_error(error)
                await asyncio.sleep(self._settings.platform.retry_interval_s)
            else:
                self.replica.apply(loaded)
                self.replica.confirm(loaded.version, asked_at)
                return

    async def follow(self) -> None:
        """Apply changes until cancelled."""
        while True:
            if not self._should_watch_platform():
                await asyncio.sleep(_PEER_INTERVAL_S)
                continue
            try:
                await self._watch_once()
            except ConfigurationError as error:
                self._record_error(error)
                await asyncio.sleep(self._settings.platform.retry_interval_s)

    async def _watch_once(self) -> None:
        asked_at = self._clock.now()
        loaded, store_version = await self._repository.watch(
            self.replica.loaded,
            self._store_version,
            _WATCH_WAIT_S,
        )
        self._store_version = store_version
        if self.replica.apply(loaded):
            self._log.info('configuration_applied', version=loaded.version)
        self.replica.confirm(loaded.version, asked_at)

    def _should_watch_platform(self) -> bool:
        zone_hosts = [
            presence.host
            for presence in self._directory.members()
            if presence.zone == self._settings.zone
        ]
        if self._settings.host in select_watchers(
            zone_hosts, WATCHERS_PER_ZONE
        ):
            return True
        now = self._clock.now()
        admission = self.replica.admission(now)
        if isinstance(admission, Fresh):
            return admission.until - now < _WATCH_WAIT_S
        return True

    def _record_error(self, error: ConfigurationError) -> None:
        self._telemetry.platform_errors.add(1, {'kind': 'configuration'})
        self._log.warning('configuration_not_read', error=str(error))
