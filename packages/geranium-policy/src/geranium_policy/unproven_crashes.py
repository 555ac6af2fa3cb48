"""Broken runs whose targets may have crashed, until that is known.

If all targets of a service crash at once, every host sees what a host sees that
has lost its links, and no host can tell at that moment. The end of the target
in the list of targets tells it later.
"""

import collections
import dataclasses
from collections.abc import Collection
from typing import TypeAlias

from .suspects import CrashNotice, SuspectRegister


@dataclasses.dataclass(frozen=True, slots=True)
class UnprovenCrashSettings:
    """Limits of the runs that are kept.

    Args:
        lifetime_s: Time after which the end of a target no longer explains why
            a run broke.
        max_kept: Maximum number of runs kept. The oldest are dropped first.
    """

    lifetime_s: float = 10
    max_kept: int = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class UnprovenCrash:
    """A run that broke for an unknown reason.

    Args:
        request: Fingerprint of the request.
        parts: Fingerprints of the parts that it may share with others.
        crash_id: The id that the crash of its target would have.
        broken_at: Instant on the local clock.
        expires_at: Instant from which it is dropped.
    """

    request: int
    parts: tuple[int, ...]
    crash_id: str
    broken_at: float
    expires_at: float

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """The fingerprint of the request, then those of its parts."""
        return self.request, *self.parts


_CrashesByKey: TypeAlias = collections.OrderedDict[
    tuple[int, str], UnprovenCrash
]


class UnprovenCrashes:
    """Keeps broken runs until their targets are known to be up or down.

    Args:
        settings: How long and how many are kept.
        register: Takes the crashes that are proven.
    """

    def __init__(
        self, settings: UnprovenCrashSettings, register: SuspectRegister
    ) -> None:
        self._settings = settings
        self._register = register
        self._crashes_by_key = _CrashesByKey()

    def add(
        self, request: int, parts: tuple[int, ...], crash_id: str, now: float
    ) -> None:
        """Keep a run that has just broken."""
        expires_at = now + self._settings.lifetime_s
        self._crashes_by_key[request, crash_id] = UnprovenCrash(
            request, parts, crash_id, now, expires_at
        )
        self._crashes_by_key.move_to_end((request, crash_id))
        while len(self._crashes_by_key) > self._settings.max_kept:
            self._crashes_by_key.popitem(last=False)

    def crash_ids(self, now: float) -> frozenset[str]:
        """Return the ids of the crashes that may have happened."""
        self._drop_expired(now)
        return frozenset(crash_id for _, crash_id in self._crashes_by_key)

    def prove(self, crash_id: str, now: float) -> tuple[CrashNotice, ...]:
        """Record the crash of a target that is known to be down.

        Returns:
            Notices to send to peers immediately.
        """
        self._drop_expired(now)
        proven = [
            crash
            for crash in self._crashes_by_key.values()
            if crash.crash_id == crash_id
        ]
        notices: list[CrashNotice] = []
        for crash in proven:
            self.drop(crash.request, crash_id)
            notices.extend(
                self._register.record_crash(
                    crash.fingerprints, crash_id, now, crash.broken_at
                )
            )
        return tuple(notices)

    def drop(self, request: int, crash_id: str) -> None:
        """Drop a run whose target was up after the run had broken."""
        self._crashes_by_key.pop((request, crash_id), None)

    def clear(self, request: int, parts: Collection[int]) -> None:
        """Drop a request that was completed, and its parts from the others."""
        if not self._crashes_by_key:
            return
        self._crashes_by_key = _CrashesByKey(
            (key, _without_parts(crash, parts))
            for key, crash in self._crashes_by_key.items()
            if crash.request != request
        )

    def _drop_expired(self, now: float) -> None:
        while self._crashes_by_key:
            key, crash = next(iter(self._crashes_by_key.items()))
            if crash.expires_at > now:
                return
            self._crashes_by_key.pop(key)


def _without_parts(
    crash: UnprovenCrash, parts: Collection[int]
) -> UnprovenCrash:
    left = tuple(part for part in crash.parts if part not in parts)
    return dataclasses.replace(crash, parts=left)
