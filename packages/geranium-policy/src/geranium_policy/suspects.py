"""Tracking of suspects: requests that were running when a target crashed.

A caller retries a request that crashes its target, so the request would
crash one target after another. Daemons exchange the crashes that they
observe. Crashes are merged by set union, so notices may arrive late, twice
and in any order.
"""

import collections
import dataclasses
import enum
from collections.abc import Collection, Iterable, Iterator
from typing import TypeAlias, TypeVar

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectSettings:
    """Limits of the crash register.

    Args:
        max_crashes: Crashes after which a request is rejected.
        retention_s: Time after which a crash no longer counts.
        max_crashes_kept: Maximum number of crashes kept. The oldest are
            dropped first.
    """

    max_crashes: int = 2
    retention_s: float = 900
    max_crashes_kept: int = 4096


class Verdict(enum.Enum):
    """How a request may run."""

    RUN = 'run'
    RUN_ISOLATED = 'run-apart'
    REJECT = 'reject'


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A target crash during which a request was running.

    Args:
        fingerprint: As returned by :func:`request_fingerprint`.
        crash_id: Unique id of the crash, the same for all requests that
            were running. Daemons that observe the same crash must use the
            same id.
        crashed_at: Instant on the local daemon's clock.
        cleared: Whether the request has since completed in isolation, which
            shows that it did not cause this crash.
    """

    fingerprint: int
    crash_id: str
    crashed_at: float
    cleared: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """A crash as sent to peers, whose clocks differ.

    ``age_s`` is the age of the crash when the notice was created.
    """

    fingerprint: int
    crash_id: str
    age_s: float
    cleared: bool


def request_fingerprint(team: str, body: bytes) -> int:
    """Return a 64-bit hash that identifies a request body of a team."""
    return xxhash.xxh3_64_intdigest(
        body,
        seed=xxhash.xxh3_64_intdigest(team.encode()),
    )


_Key: TypeAlias = tuple[int, str]
_Name = TypeVar('_Name', int, str)
_CrashesByKey: TypeAlias = collections.OrderedDict[_Key, Crash]


class SuspectRegister:
    """Records which requests were running when targets crashed.

    ``revision`` rises with each change.
    """

    def __init__(self, settings: SuspectSettings) -> None:
        self.revision = 0
        self._settings = settings
        self._crashes_by_key = _CrashesByKey()
        self._keys_by_fingerprint: dict[int, set[_Key]] = {}
        self._keys_by_crash: dict[str, set[_Key]] = {}

    def record_crash(
        self,
        fingerprints: Iterable[int],
        crash_id: str,
        now: float,
    ) -> tuple[CrashNotice, ...]:
        """Mark all requests that were running on a crashed target as suspects.

        Returns:
            Notices to send to peers immediately.
        """
        crashes = [
            Crash(fingerprint, crash_id, now) for fingerprint in fingerprints
        ]
        return self._merge_all(crashes, now)

    def clear(self, fingerprint: int, now: float) -> tuple[CrashNotice, ...]:
        """Clear a request that has completed in isolation.

        Returns:
            Notices to send to peers immediately.
        """
        crashes = self._active_crashes(fingerprint, now)
        cleared = [
            dataclasses.replace(crash, cleared=True) for crash in crashes
        ]
        return self._merge_all(cleared, now)

    def withdraw(
        self, crash_id: str, before: float, now: float
    ) -> tuple[CrashNotice, ...]:
        """Clear a crash that has not taken place, for all requests.

        Args:
            crash_id: The crash.
            before: Only what was recorded before this instant is cleared.
            now: The current time.

        Returns:
            Notices to send to peers immediately.
        """
        crashes = [
            self._crashes_by_key[key]
            for key in self._keys_by_crash.get(crash_id, ())
        ]
        return self._merge_all(
            [
                dataclasses.replace(crash, cleared=True)
                for crash in crashes
                if crash.crashed_at < before and not crash.cleared
            ],
            now,
        )

    def apply(
        self, notices: Iterable[CrashNotice], now: float
    ) -> tuple[CrashNotice, ...]:
        """Merge notices from a peer; return those that were new."""
        new_notices = []
        for notice in notices:
            known = self._find(notice)
            if known is None or notice.cleared > known.cleared:
                new_notices.append(notice)
            self._merge(
                Crash(
                    notice.fingerprint,
                    notice.crash_id,
                    now - notice.age_s,
                    notice.cleared,
                ),
            )
        return tuple(new_notices)

    def corrections(
        self, notices: Iterable[CrashNotice], now: float
    ) -> tuple[CrashNotice, ...]:
        """Return the crashes that a peer has sent and are cleared here."""
        return tuple(
            _to_notice(crash, now)
            for notice in notices
            if not notice.cleared
            and (crash := self._find(notice)) is not None
            and crash.cleared
        )

    def notices(self, now: float) -> tuple[CrashNotice, ...]:
        """Return notices of all current crashes, for a new peer."""
        oldest = now - self._settings.retention_s
        return tuple(
            _to_notice(crash, now)
            for crash in self._crashes_by_key.values()
            if crash.crashed_at > oldest
        )

    def latest_notices(
        self, fingerprint: int, now: float, most: int
    ) -> tuple[CrashNotice, ...]:
        """Return notices of the latest crashes of one fingerprint."""
        crashes = self._active_crashes(fingerprint, now)
        crashes.sort(key=lambda crash: crash.crashed_at)
        return tuple(_to_notice(crash, now) for crash in crashes[-most:])

    def verdict(
        self,
        fingerprint: int,
        now: float,
        explained: Collection[str] = (),
    ) -> Verdict:
        """Return how a request may run.

        Crashes that something else explains, given by their ids, don't count.
        """
        if fingerprint not in self._keys_by_fingerprint:
            return Verdict.RUN
        crashes = sum(
            crash.crash_id not in explained
            for crash in self._active_crashes(fingerprint, now)
        )
        if crashes >= self._settings.max_crashes:
            return Verdict.REJECT
        return Verdict.RUN_ISOLATED if crashes else Verdict.RUN

    def active_crashes(self, now: float) -> Iterator[Crash]:
        """Yield the crashes that count and are not cleared."""
        oldest = now - self._settings.retention_s
        for crash in self._crashes_by_key.values():
            if crash.crashed_at > oldest and not crash.cleared:
                yield crash

    def _active_crashes(self, fingerprint: int, now: float) -> list[Crash]:
        oldest = now - self._settings.retention_s
        crashes = [
            self._crashes_by_key[key]
            for key in self._keys_by_fingerprint.get(fingerprint, ())
        ]
        return [
            crash
            for crash in crashes
            if crash.crashed_at > oldest and not crash.cleared
        ]

    def _find(self, notice: CrashNotice) -> Crash | None:
        return self._crashes_by_key.get((notice.fingerprint, notice.crash_id))

    def _merge_all(
        self,
        crashes: Iterable[Crash],
        now: float,
    ) -> tuple[CrashNotice, ...]:
        notices = []
        for crash in crashes:
            self._merge(crash)
            notices.append(_to_notice(crash, now))
        return tuple(notices)

    def _merge(self, crash: Crash) -> None:
        key = (crash.fingerprint, crash.crash_id)
        known = self._crashes_by_key.get(key)
        if known is not None:
            crash = Crash(
                crash.fingerprint,
                crash.crash_id,
                min(known.crashed_at, crash.crashed_at),
                known.cleared or crash.cleared,
            )
        if crash == known:
            return
        self.revision += 1
        self._crashes_by_key[key] = crash
        keys = self._keys_by_fingerprint.setdefault(crash.fingerprint, set())
        keys.add(key)
        self._keys_by_crash.setdefault(crash.crash_id, set()).add(key)
        while len(self._crashes_by_key) > self._settings.max_crashes_kept:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        key, crash = self._crashes_by_key.popitem(last=False)
        _discard(self._keys_by_fingerprint, crash.fingerprint, key)
        _discard(self._keys_by_crash, crash.crash_id, key)


def isolation_target(service: str, targets: Collection[str]) -> str | None:
    """Return the target on which a service's suspects run in isolation.

    The choice is a rendezvous hash, so all daemons with the same targets
    make the same choice and can keep other work off the target while a
    suspect runs. Returns ``None`` if there are no targets.
    """
    return max(
        targets,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{service}/{name}'.encode()),
        default=None,
    )


def _discard(
    keys_by_name: dict[_Name, set[_Key]], name: _Name, key: _Key
) -> None:
    keys = keys_by_name[name]
    keys.discard(key)
    if not keys:
        keys_by_name.pop(name)


def _to_notice(crash: Crash, now: float) -> CrashNotice:
    return CrashNotice(
        crash.fingerprint,
        crash.crash_id,
        now - crash.crashed_at,
        crash.cleared,
    )
