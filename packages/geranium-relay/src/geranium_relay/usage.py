"""Usage counts: kept by every host, sealed per window, reported by one."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Any, Protocol

from geranium_coordination import (
    ConflictError,
    IfAbsent,
    IfVersion,
    Lease,
    ObjectStore,
    StoredObject,
    StoreError,
    Unconditional,
    era_of,
)

from .clock import ClusterClock
from .decision_log import DecisionLog
from .sealed_windows import (
    MayBeSealed,
    NotSealed,
    SealedHere,
    SealedWindows,
)

COUNTS_PREFIX = 'usage/counts/'
SEALS_PREFIX = 'usage/seals/'
_MAX_WINDOW_DIGITS = 18
_MAX_COUNT = 0xFFFFFFFF  # of a team in a window, as updates carry it
MIN_SLEEP_S = 0.01  # avoids a busy loop when the clock steps back


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSettings:
    """When counts are written and windows are reported.

    Args:
        window_s: Length of a window; windows are numbered from the Unix epoch, 1970.
        late_s: Deadline of a report after its window's end.
        write_after_s: Delay after a window's end before hosts write their
            counts, which includes requests that were just starting.
        seal_after_s: Delay after a window's end before the counts are read.
        kept_windows: Windows that a host's written counts cover.
        retry_s: Delay after a failed call.
    """

    window_s: float
    late_s: float
    write_after_s: float = 0.3
    seal_after_s: float = 1.5
    kept_windows: int = 4
    retry_s: float = 0.4


class UsageCounter:
    """Counts the requests of each team by window of cluster time."""

    def __init__(self, settings: UsageSettings, time: ClusterClock) -> None:
        self.time = time
        self._settings = settings
        self._counts_by_window: dict[int, dict[str, int]] = {}

    def count(self, team: str) -> None:
        """Count a request that starts to run now."""
        window = int(self.time.now() // self._settings.window_s)
        counts = self._counts_by_window.setdefault(window, {})
        counts[team] = counts.get(team, 0) + 1

    def recent(self, through: int) -> dict[int, dict[str, int]]:
        """Return the counts of the latest windows through one; prune older."""
        oldest = through - self._settings.kept_windows
        self._counts_by_window = {
            window: counts
            for window, counts in self._counts_by_window.items()
            if window > oldest
        }
        return {
            known: dict(counts)
            for known, counts in self._counts_by_window.items()
            if known <= through
        }


class UsagePort(Protocol):
    """Reports usage to the provider."""

    async def report(
        self,
        window: int,
        counts_by_team: Mapping[str, int],
        epoch: int,
    ) -> bool:
        """Return whether the provider accepted the report."""
        ...


class UsageWriter:
    """Writes this host's counts to the store after each window."""

    def __init__(
        self,
        settings: UsageSettings,
        counter: UsageCounter,
        store: ObjectStore,
        log: DecisionLog,
        writer: str,
    ) -> None:
        self._settings = settings
        self._counter = counter
        self._store = store
        self._time = counter.time
        self._log = log
        self._key = f'{COUNTS_PREFIX}{writer}'
        self._unwritten: dict[int, dict[str, int]] = {}
        self._write_requested = asyncio.Event()

    def unwritten(self) -> dict[int, dict[str, int]]:
        """Return the counts that are not in the store yet, by window."""
        return self._unwritten

    def request_write(self) -> None:
        """Write the counts again: a restored store may lack them."""
        self._write_requested.set()

    async def run(self) -> None:
        """Write after each window until cancelled."""
        settings = self._settings
        while True:
            now = self._time.now() - settings.write_after_s
            window = int(now // settings.window_s)
            end = (window + 1) * settings.window_s + settings.write_after_s
            if await self._is_write_requested(end):
                # The window that has not ended is not complete.
                await self.write(window - 1)
            else:
                await self.write(window)

    async def write_all(self) -> None:
        """Write all counts, including those of the current window."""
        window = self._time.now() // self._settings.window_s
        await self.write(int(window))

    async def write(self, through: int) -> None:
        """Write the counts of windows through one, retrying on failure."""
        counts_by_window = self._counter.recent(through)
        if not counts_by_window:
            return
        body = {
            str(window): counts for window, counts in counts_by_window.items()
        }
        self._unwritten = counts_by_window
        deadline = self._time.now() + self._settings.window_s / 2
        while self._time.now() < deadline:
            try:
                await self._store.write(self._key, body, Unconditional())
            except StoreError as error:
                self._log.record('usage_not_written', error=repr(error))
                await asyncio.sleep(self._settings.retry_s)
                continue
            self._unwritten = {}
            return

    async def _is_write_requested(self, end: float) -> bool:
        """Wait for a request or an instant; return whether it is a request."""
        limit_s = max(end - self._time.now(), MIN_SLEEP_S)
        try:
            async with asyncio.timeout(limit_s):
                await self._write_requested.wait()
        except TimeoutError:
            return False
        self._write_requested.clear()
        return True


class PeerUsage:
    """What peers sent of usage: unwritten counts and sealed windows.

    Args:
        settings: Lengths of windows.
        first_era: Returns the era of the store at the start of this process.
    """

    def __init__(
        self, settings: UsageSettings, first_era: Callable[[], int] = int
    ) -> None:
        self.sealed = SealedWindows(first_era)
        self._kept_windows = settings.kept_windows
        self._counts_by_source: dict[tuple[str, int], dict[str, int]] = {}

    def update(
        self,
        writer: str,
        counts_by_window: Mapping[int, Mapping[str, int]],
    ) -> None:
        """Store the counts that a peer has sent."""
        for window, counts in counts_by_window.items():
            self._counts_by_source[writer, window] = dict(counts)

    def of_window(
        self,
        window: int,
        written: Collection[str],
    ) -> Iterator[dict[str, int]]:
        """Yield the counts of a window from peers that have not written it."""
        self._counts_by_source = {
            source: counts
            for source, counts in self._counts_by_source.items()
            if source[1] > window - self._kept_windows
        }
        for (writer, sent), counts in self._counts_by_source.items():
            if sent == window and writer not in written:
                yield counts


class UsageDuty:
    """Seals and reports windows while the duty is held.

    A window is sealed by creating an object with its counts. Every host that
    reports the window then reports the same counts. A window whose seal may
    have been lost with a restored store is left out.
    """

    def __init__(
        self,
        settings: UsageSettings,
        store: ObjectStore,
        peer_usage: PeerUsage,
        port: UsagePort,
        time: ClusterClock,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peer_usage = peer_usage
        self._sealed = peer_usage.sealed
        self._port = port
        self._time = time
        self._log = log

    async def run(self, lease: Lease) -> None:
        """Report every window whose deadline has not passed."""
        settings = self._settings
        window = max(self._oldest_due(), self._first_certain(lease))
        while True:
            ready = (window + 1) * settings.window_s + settings.seal_after_s
            await asyncio.sleep(max(ready - self._time.now(), 0))
            if await self._report(window, lease):
                window += 1
            else:
                await asyncio.sleep(settings.retry_s)
            window = max(window, self._oldest_due())

    def _oldest_due(self) -> int:
        settings = self._settings
        due = self._time.now() - settings.late_s
        return int(due // settings.window_s)

    def _first_certain(self, lease: Lease) -> int:
        """Return the first window that nobody can have sealed unnoticed.

        If the store was restored before this process started, seals of
        windows that have ended may be lost.
        """
        restored = lease.previous_era != era_of(lease.epoch)
        if not restored or self._sealed.covers(lease.previous_era):
            return 0
        window = int(self._time.now() // self._settings.window_s)
        self._log.record('windows_left_out', before=window)
        return window

    async def _report(self, window: int, lease: Lease) -> bool:
        """Seal and report a window; return whether it is complete."""
        try:
            counts_by_team = await self._seal(window)
        except StoreError as error:
            self._log.record(
                'window_not_sealed', window=window, error=str(error)
            )
            return False
        if not counts_by_team:
            return True
        if not lease.is_held():
            return False
        taken = await self._port.report(window, counts_by_team, lease.epoch)
        self._log.record(
            'window_reported',
            window=window,
            epoch=lease.epoch,
            counts=counts_by_team,
            taken=taken,
        )
        return taken

    async def _seal(self, window: int) -> Mapping[str, int]:
        match self._sealed.state(window):
            case SealedHere(counts_by_team):
                return counts_by_team
            case MayBeSealed():
                return await self._read_seal(window)
            case NotSealed():
                return await self._create_seal(window)

    async def _create_seal(self, window: int) -> Mapping[str, int]:
        counts_by_team = await self._collect(window)
        if not counts_by_team:
            return counts_by_team
        key = f'{SEALS_PREFIX}{window}'
        try:
            await self._store.write(key, counts_by_team, IfAbsent())
        except ConflictError:
            return await self._read_seal(window)
        self._sealed.record(window, counts_by_team)
        return counts_by_team

    async def _read_seal(self, window: int) -> Mapping[str, int]:
        """Return the sealed counts, none if the seal is lost."""
        found = await self._store.read(f'{SEALS_PREFIX}{window}')
        if found is None:
            self._log.record('windows_left_out', before=window + 1)
            return {}
        return _counts(found.body)

    async def _collect(self, window: int) -> dict[str, int]:
        written = set()
        total: collections.Counter[str] = collections.Counter()
        for found in await self._store.read_prefix(COUNTS_PREFIX):
            body = found.body
            if not isinstance(body, dict):
                self._log.record('usage_unreadable', key=found.key)
                continue
            counted = body.get(str(window))
            if counted is not None:
                written.add(found.key.removeprefix(COUNTS_PREFIX))
                total.update(_counts(counted))
            elif self._is_outdated(window, body):
                await self._remove(found)
        for counts in self._peer_usage.of_window(window, written):
            total.update(counts)
        return dict(total)

    def _is_outdated(self, window: int, body: Mapping[str, object]) -> bool:
        """Return whether an object belongs to a process that has ended."""
        newest = max(map(_window, body), default=0)
        return newest < window - self._settings.kept_windows

    async def _remove(self, found: StoredObject) -> None:
        try:
            await self._store.delete(found.key, IfVersion(found.version))
        except StoreError as error:
            self._log.record(
                'usage_not_removed', key=found.key, error=str(error)
            )


def _window(key: str) -> int:
    is_number = key.isdecimal() and len(key) <= _MAX_WINDOW_DIGITS
    return int(key) if is_number else 0


def _counts(body: Any) -> dict[str, int]:
    """Return the valid counts in a stored body."""
    if not isinstance(body, dict):
        return {}
    return {team: count for team, count in body.items() if _is_count(count)}


def _is_count(count: object) -> bool:
    if not isinstance(count, int) or isinstance(count, bool):
        return False
    return 0 <= count <= _MAX_COUNT
