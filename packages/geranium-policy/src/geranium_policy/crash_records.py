"""Records of the crashes under which requests were running."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import TypeAlias, TypeVar


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


_TRIAL_PREFIX = 'trial '
_Key: TypeAlias = tuple[int, str]
_Name = TypeVar('_Name', int, str)
_CrashesByKey: TypeAlias = collections.OrderedDict[_Key, Crash]


class CrashRecords:
    """Crashes by fingerprint and crash id; the oldest are dropped.

    Args:
        settings: How long and how many are kept.

    ``revision`` rises with each change.
    """

    def __init__(self, settings: SuspectSettings) -> None:
        self.revision = 0
        self._settings = settings
        self._crashes_by_key = _CrashesByKey()
        self._keys_by_fingerprint: dict[int, set[_Key]] = {}
        self._keys_by_crash: dict[str, set[_Key]] = {}

    def merge(self, crash: Crash) -> None:
        """Record a crash; the earliest instant counts, and a clearance."""
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
        self._keys_by_fingerprint.setdefault(crash.fingerprint, set()).add(key)
        self._keys_by_crash.setdefault(crash.crash_id, set()).add(key)
        while len(self._crashes_by_key) > self._settings.max_crashes_kept:
            self._drop_oldest()

    def find(self, notice: CrashNotice) -> Crash | None:
        """Return the crash of a notice, if it is known."""
        return self._crashes_by_key.get((notice.fingerprint, notice.crash_id))

    def current(self, now: float) -> Iterator[Crash]:
        """Yield all crashes that are not too old."""
        return self._recent(self._crashes_by_key, now)

    def of_crash(self, crash_id: str, now: float) -> Iterator[Crash]:
        """Yield what happened under one crash."""
        return self._recent(self._keys_by_crash.get(crash_id, ()), now)

    def active(self, fingerprint: int, now: float) -> list[Crash]:
        """Return the crashes of a fingerprint that are not cleared."""
        return [
            crash
            for crash in self._of_fingerprint(fingerprint, now)
            if not crash.cleared
        ]

    def trials(self, fingerprint: int, now: float) -> list[Crash]:
        """Return the trials of a fingerprint."""
        return [
            crash
            for crash in self._of_fingerprint(fingerprint, now)
            if crash.crash_id.startswith(_TRIAL_PREFIX)
        ]

    def _of_fingerprint(self, fingerprint: int, now: float) -> Iterator[Crash]:
        keys = self._keys_by_fingerprint.get(fingerprint, ())
        return self._recent(keys, now)

    def _recent(self, keys: Iterable[_Key], now: float) -> Iterator[Crash]:
        oldest = now - self._settings.retention_s
        crashes = map(self._crashes_by_key.__getitem__, keys)
        return (crash for crash in crashes if crash.crashed_at > oldest)

    def _drop_oldest(self) -> None:
        key, crash = self._crashes_by_key.popitem(last=False)
        _discard(self._keys_by_fingerprint, crash.fingerprint, key)
        _discard(self._keys_by_crash, crash.crash_id, key)


def make_trial(fingerprint: int, name: str, now: float) -> Crash:
    """Return a trial, which is kept like a cleared crash.

    It changes no verdict, also at hosts that know no trials.
    """
    return Crash(fingerprint, f'{_TRIAL_PREFIX}{name}', now, cleared=True)


def _discard(
    keys_by_name: dict[_Name, set[_Key]], name: _Name, key: _Key
) -> None:
    keys = keys_by_name[name]
    keys.discard(key)
    if not keys:
        keys_by_name.pop(name)
