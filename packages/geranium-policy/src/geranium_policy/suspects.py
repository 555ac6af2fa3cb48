"""Suspects: requests that were running on targets that crashed.

A request that crashes its targets is sent again by its caller and would
take down one target after the other. Daemons share what they saw; facts are
merged by union, so that they may arrive late, twice and in any order.
"""

import collections
import dataclasses
import enum
from collections.abc import Collection, Iterable
from typing import TypeAlias

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectSettings:
    """Bounds on suspicion.

    Args:
        max_crashes: After so many crashes a request is rejected.
        retention_s: A crash is forgotten after this.
        max_crashes_kept: Crashes remembered at most; the oldest go first.
    """

    max_crashes: int = 2
    retention_s: float = 900
    max_crashes_kept: int = 4096


class Verdict(enum.Enum):
    """What may be done with a request."""

    RUN = 'run'
    RUN_APART = 'run-apart'
    REJECT = 'reject'


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A request was running on a target when that crashed.

    Args:
        fingerprint: As returned by :func:`request_fingerprint`.
        crash_id: Unique id of the crash, the same for all requests that
            were running; daemons that saw the same crash must agree on it.
        crashed_at: Instant on the clock of the daemon that holds this.
        cleared: Whether the request has since run to its end apart, so that
            it did not cause this crash.
    """

    fingerprint: int
    crash_id: str
    crashed_at: float
    cleared: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """A crash as it is told to peers, whose clocks differ.

    ``age_s`` is how long ago it was when the notice was made.
    """

    fingerprint: int
    crash_id: str
    age_s: float
    cleared: bool


def request_fingerprint(team: str, body: bytes) -> int:
    """Return the 64-bit hash that stands for a team's request body."""
    return xxhash.xxh3_64_intdigest(
        body,
        seed=xxhash.xxh3_64_intdigest(team.encode()),
    )


_Key: TypeAlias = tuple[int, str]
_CrashesByKey: TypeAlias = collections.OrderedDict[_Key, Crash]


class SuspectRegister:
    """Remembers which requests were running when targets crashed."""

    def __init__(self, settings: SuspectSettings) -> None:
        self._settings = settings
        self._crashes_by_key = _CrashesByKey()
        self._keys_by_fingerprint: dict[int, set[_Key]] = {}

    def record_crash(
        self,
        fingerprints: Iterable[int],
        crash_id: str,
        now: float,
    ) -> tuple[CrashNotice, ...]:
        """Suspect all requests that were running on a crashed target.

        Returns:
            What to tell peers at once.
        """
        crashes = [
            Crash(fingerprint, crash_id, now) for fingerprint in fingerprints
        ]
        return self._merge_all(crashes, now)

    def clear(self, fingerprint: int, now: float) -> tuple[CrashNotice, ...]:
        """Clear a request that has run to its end apart from others.

        Returns:
            What to tell peers at once.
        """
        crashes = self._crashes(fingerprint, now)
        cleared = [
            dataclasses.replace(crash, cleared=True) for crash in crashes
        ]
        return self._merge_all(cleared, now)

    def apply(self, notices: Iterable[CrashNotice], now: float) -> None:
        """Take in what a peer tells."""
        for notice in notices:
            self._merge(
                Crash(
                    notice.fingerprint,
                    notice.crash_id,
                    now - notice.age_s,
                    notice.cleared,
                ),
            )

    def notices(self, now: float) -> tuple[CrashNotice, ...]:
        """Return everything that is remembered, to tell a new peer."""
        oldest = now - self._settings.retention_s
        return tuple(
            _notice(crash, now)
            for crash in self._crashes_by_key.values()
            if crash.crashed_at > oldest
        )

    def verdict(self, fingerprint: int, now: float) -> Verdict:
        """Return what may be done with a request."""
        if fingerprint not in self._keys_by_fingerprint:
            return Verdict.RUN
        crashes = len(self._crashes(fingerprint, now))
        if crashes >= self._settings.max_crashes:
            return Verdict.REJECT
        return Verdict.RUN_APART if crashes else Verdict.RUN

    def _crashes(self, fingerprint: int, now: float) -> list[Crash]:
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

    def _merge_all(
        self,
        crashes: Iterable[Crash],
        now: float,
    ) -> tuple[CrashNotice, ...]:
        notices = []
        for crash in crashes:
            self._merge(crash)
            notices.append(_notice(crash, now))
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
        self._crashes_by_key[key] = crash
        keys = self._keys_by_fingerprint.setdefault(crash.fingerprint, set())
        keys.add(key)
        while len(self._crashes_by_key) > self._settings.max_crashes_kept:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        key, crash = self._crashes_by_key.popitem(last=False)
        keys = self._keys_by_fingerprint[crash.fingerprint]
        keys.discard(key)
        if not keys:
            self._keys_by_fingerprint.pop(crash.fingerprint)


def isolation_target(service: str, targets: Collection[str]) -> str | None:
    """Return the target on which a service's suspects run apart.

    All daemons with the same targets agree on it, so that they can keep
    other work off it as long as a suspect runs. ``None`` without targets.
    """
    return max(
        targets,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{service}/{name}'.encode()),
        default=None,
    )


def _notice(crash: Crash, now: float) -> CrashNotice:
    return CrashNotice(
        crash.fingerprint,
        crash.crash_id,
        now - crash.crashed_at,
        crash.cleared,
    )
