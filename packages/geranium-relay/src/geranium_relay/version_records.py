"""Keeps in the store which services had targets of several versions lately.

A process that has just started does not know which software versions have
left before. While it does not, a list with one version is no proof that a
stream began at that version. The host that holds the duty therefore records
a service in the store while it has several versions, and until long enough
after the last one left.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from geranium_coordination import (
    Lease,
    ObjectStore,
    StoredObject,
    StoreError,
    Unconditional,
)

from .decision_log import DecisionLog
from .targets import Fleet

RECORDS_PREFIX = 'target-versions/'
UNKNOWN_VERSION = '(unknown)'  # no target has it


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecordSettings:
    """When records are written and read.

    Args:
        lifetime_s: Time after which no caller takes up a stream any more.
        check_interval_s: Interval at which the list of targets is checked.
        read_interval_s: Minimum interval of the reads of a host that needs
            the records.
    """

    lifetime_s: float = 30
    check_interval_s: float = 0.5
    read_interval_s: float = 0.5


class VersionRecords:
    """The records of services with several versions.

    Args:
        settings: When records are written and read.
        store: Holds the records.
        fleet: The targets.
        clock: Returns the current time in seconds.
        log: Receives a record of each change and of failed calls.
    """

    def __init__(
        self,
        settings: VersionRecordSettings,
        store: ObjectStore,
        fleet: Fleet,
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._fleet = fleet
        self._clock = clock
        self._log = log
        self._reading = asyncio.Lock()
        self._read_at: float | None = None
        self._versions_by_service: dict[str, frozenset[str]] | None = None

    async def run(self, lease: Lease) -> None:
        """Keep the records while the lease is held."""
        recorded: dict[str, frozenset[str]] | None = None
        while True:
            if recorded is None:
                recorded = await self._read()
            if recorded is not None and lease.is_held():
                await self._update(recorded)
            await asyncio.sleep(self._settings.check_interval_s)

    async def may_have_begun_elsewhere(
        self, service: str, version: str
    ) -> bool:
        """Return whether streams of a service may have begun at another version.

        True if the records can't be read.
        """
        async with self._reading:
            now = self._clock()
            due_s = self._settings.read_interval_s
            if self._read_at is None or now - self._read_at >= due_s:
                self._read_at = now
                self._versions_by_service = await self._read()
        if self._versions_by_service is None:
            return True
        recorded = self._versions_by_service.get(service, frozenset())
        return bool(recorded - {version})

    async def _read(self) -> dict[str, frozenset[str]] | None:
        try:
            found = await self._store.read_prefix(RECORDS_PREFIX)
        except StoreError as error:
            self._log.record('versions_not_read', error=repr(error))
            return None
        return {
            record.key.removeprefix(RECORDS_PREFIX): self._decode(record)
            for record in found
        }

    def _decode(self, record: StoredObject) -> frozenset[str]:
        """Return the versions in a record.

        One that can't be read, since another build has written it, may name
        any version.
        """
        match record.body:
            case {'versions': list() as versions}:
                return frozenset(map(str, versions))
            case _:
                self._log.record('version_record_unreadable', key=record.key)
                return frozenset((UNKNOWN_VERSION,))

    async def _update(self, recorded: dict[str, frozenset[str]]) -> None:
        """Write or remove the records that differ from the list of targets."""
        now = self._clock()
        oldest = now - self._settings.lifetime_s
        is_settled = self._fleet.reads.followed_since <= oldest
        for service in self._fleet.services() | recorded.keys():
            versions = self._fleet.versions_since(service, oldest)
            known = recorded.get(service, frozenset())
            if not is_settled:
                # What left while the list was not read is only in the record.
                versions |= known
            wanted = versions if len(versions) > 1 else frozenset()
            if wanted != known and await self._write(service, wanted):
                recorded[service] = wanted

    async def _write(self, service: str, versions: frozenset[str]) -> bool:
        """Replace a record; return whether the store has it."""
        key = f'{RECORDS_PREFIX}{service}'
        try:
            await self._store.write(
                key, {'versions': sorted(versions)}, Unconditional()
            )
        except StoreError as error:
            self._log.record(
                'versions_not_recorded', service=service, error=repr(error)
            )
            return False
        self._log.record(
            'versions_recorded', service=service, versions=sorted(versions)
        )
        return True
