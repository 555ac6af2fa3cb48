"""Keeps in the store what crashes targets, for the time after all hosts ended.

Hosts tell each other of crashes, but nobody is left to tell if all are killed at
once. The host that holds the duty therefore records the crashes of each known
cause, and a process that starts reads them before it serves callers.
"""

import asyncio
import dataclasses
from collections.abc import Iterable, Iterator

from geranium_coordination import (
    Lease,
    ObjectStore,
    StoreError,
    Unconditional,
)
from geranium_policy.crash_causes import CrashCauses
from geranium_policy.suspects import CrashNotice, SuspectRegister

from ..clock import BootClock, ClusterClock
from ..decision_log import DecisionLog

RECORD_KEY = 'crashes/known'
MAX_NOTICES = 512  # in the record
_HEX = 16


@dataclasses.dataclass(frozen=True, slots=True)
class CrashStoreSettings:
    """When crashes are recorded and read.

    Args:
        check_interval_s: Interval at which the known causes are checked.
        read_timeout_s: A process that starts serves without the record after
            this time.
    """

    check_interval_s: float = 0.5
    read_timeout_s: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CrashClocks:
    """The clock of this host, and the time that all hosts share."""

    boot: BootClock
    cluster: ClusterClock


class CrashStore:
    """The record of the crashes of known causes.

    Args:
        settings: When it is written and read.
        store: Holds it.
        causes: What crashes targets, as this host knows it.
        register: Receives the crashes in the record.
        clocks: The time in the record is that of all hosts.
        log: Receives a record of each change and of failed calls.
    """

    def __init__(
        self,
        settings: CrashStoreSettings,
        store: ObjectStore,
        causes: CrashCauses,
        register: SuspectRegister,
        clocks: CrashClocks,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._causes = causes
        self._register = register
        self._clocks = clocks
        self._log = log
        self._recorded: frozenset[CrashNotice] | None = None

    async def restore(self) -> None:
        """Read the record, unless that takes too long."""
        try:
            async with asyncio.timeout(self._settings.read_timeout_s):
                await self._read()
        except TimeoutError as error:
            self._log.record('crashes_not_read', error=repr(error))

    async def run(self, lease: Lease) -> None:
        """Keep the record while the lease is held."""
        self._recorded = None
        while True:
            if self._recorded is None:
                # The causes in the record must not be lost by a write.
                await self._read()
            elif lease.is_held():
                await self._write(self._recorded)
            await asyncio.sleep(self._settings.check_interval_s)

    async def _read(self) -> None:
        try:
            found = await self._store.read(RECORD_KEY)
        except StoreError as error:
            self._log.record('crashes_not_read', error=repr(error))
            return
        notices = () if found is None else tuple(self._decode(found.body))
        self._recorded = frozenset(map(_without_age, notices))
        if self._register.apply(notices, self._clocks.boot.now()):
            self._log.record('crashes_restored', count=len(notices))

    async def _write(self, recorded: frozenset[CrashNotice]) -> None:
        notices = self._causes.proofs(self._clocks.boot.now())[:MAX_NOTICES]
        wanted = frozenset(map(_without_age, notices))
        if wanted == recorded:
            return
        body = {'crashes': list(self._encode(notices))}
        try:
            await self._store.write(RECORD_KEY, body, Unconditional())
        except StoreError as error:
            self._log.record('crashes_not_recorded', error=repr(error))
            return
        self._recorded = wanted
        self._log.record('crashes_recorded', count=len(wanted))

    def _encode(
        self, notices: Iterable[CrashNotice]
    ) -> Iterator[dict[str, object]]:
        now = self._clocks.cluster.now()
        for notice in notices:
            yield {
                'fingerprint': format(notice.fingerprint, '016x'),
                'crash': notice.crash_id,
                'unix_s': round(now - notice.age_s, 3),
                'cleared': notice.cleared,
            }

    def _decode(self, body: object) -> Iterator[CrashNotice]:
        """Yield the crashes in a record, without those that can't be read."""
        now = self._clocks.cluster.now()
        crashes = body.get('crashes') if isinstance(body, dict) else None
        if not isinstance(crashes, list):
            self._log.record('crash_record_unreadable', entry=repr(type(body)))
            return
        for crash in crashes[:MAX_NOTICES]:
            match crash:
                case {
                    'fingerprint': str() as fingerprint,
                    'crash': str() as crash_id,
                    'unix_s': int() | float() as unix_s,
                    'cleared': bool() as cleared,
                } if _is_fingerprint(fingerprint):
                    age_s = max(now - unix_s, 0)
                    yield CrashNotice(
                        int(fingerprint, _HEX), crash_id, age_s, cleared
                    )
                case _:
                    self._log.record(
                        'crash_record_unreadable', entry=repr(type(crash))
                    )


def _is_fingerprint(text: str) -> bool:
    return len(text) == _HEX and all(
        character in '0123456789abcdef' for character in text
    )


def _without_age(notice: CrashNotice) -> CrashNotice:
    return dataclasses.replace(notice, age_s=0)
