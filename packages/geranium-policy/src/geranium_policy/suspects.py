"""Tracking of suspects: requests that were running when a target crashed.

A caller retries a request that crashes its target, so the request would
crash one target after another. Daemons exchange the crashes that they
observe. Crashes are merged by set union, so notices may arrive late, twice
and in any order.
"""

import dataclasses
import enum
from collections.abc import Collection, Iterable, Iterator

import xxhash

from .crash_records import (
    Crash,
    CrashNotice,
    CrashRecords,
    SuspectSettings,
    make_trial,
)


class Verdict(enum.Enum):
    """How a request may run."""

    RUN = 'run'
    RUN_ISOLATED = 'run-apart'
    REJECT = 'reject'


def request_fingerprint(team: str, body: bytes) -> int:
    """Return a 64-bit hash that identifies a request body of a team."""
    return xxhash.xxh3_64_intdigest(
        body,
        seed=xxhash.xxh3_64_intdigest(team.encode()),
    )


class SuspectRegister:
    """Records which requests were running when targets crashed."""

    def __init__(self, settings: SuspectSettings) -> None:
        self._settings = settings
        self._records = CrashRecords(settings)

    @property
    def revision(self) -> int:
        """Rises with each change."""
        return self._records.revision

    def record_crash(
        self,
        fingerprints: Iterable[int],
        crash_id: str,
        now: float,
        crashed_at: float | None = None,
    ) -> tuple[CrashNotice, ...]:
        """Mark all requests that were running on a crashed target as suspects.

        Args:
            fingerprints: The requests and their parts.
            crash_id: The crash.
            now: The current time.
            crashed_at: When the target crashed, if that is known only now.

        Returns:
            Notices to send to peers immediately.
        """
        instant = now if crashed_at is None else crashed_at
        crashes = [
            Crash(fingerprint, crash_id, instant)
            for fingerprint in fingerprints
        ]
        return self._merge_all(crashes, now)

    def clear(self, fingerprint: int, now: float) -> tuple[CrashNotice, ...]:
        """Clear a request that has completed in isolation.

        Returns:
            Notices to send to peers immediately.
        """
        crashes = self._records.active(fingerprint, now)
        return self._merge_all(map(_cleared, crashes), now)

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
            crash
            for crash in self._records.of_crash(crash_id, now)
            if crash.crashed_at < before and not crash.cleared
        ]
        return self._merge_all(map(_cleared, crashes), now)

    def record_trial(
        self, fingerprints: Iterable[int], name: str, now: float
    ) -> tuple[CrashNotice, ...]:
        """Record that suspects are sent to a target to see if they crash it.

        Returns:
            Notices to send to peers immediately.
        """
        trials = [
            make_trial(fingerprint, name, now) for fingerprint in fingerprints
        ]
        return self._merge_all(trials, now)

    def trials(self, fingerprint: int, now: float) -> tuple[float, ...]:
        """Return when the trials of a suspect began, the first one first."""
        trials = self._records.trials(fingerprint, now)
        return tuple(sorted(trial.crashed_at for trial in trials))

    def crashed_at(self, ids: Collection[str], now: float) -> tuple[float, ...]:
        """Return when the crashes with some ids happened."""
        instants_by_crash = (
            [crash.crashed_at for crash in self._records.of_crash(one, now)]
            for one in ids
        )
        return tuple(map(min, filter(None, instants_by_crash)))

    def apply(
        self, notices: Iterable[CrashNotice], now: float
    ) -> tuple[CrashNotice, ...]:
        """Merge notices from a peer; return those that were new."""
        new_notices = []
        for notice in notices:
            known = self._records.find(notice)
            if known is None or notice.cleared > known.cleared:
                new_notices.append(notice)
            self._records.merge(
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
        known = (
            self._records.find(notice)
            for notice in notices
            if not notice.cleared
        )
        return tuple(
            _to_notice(crash, now)
            for crash in filter(None, known)
            if crash.cleared
        )

    def notices(self, now: float) -> tuple[CrashNotice, ...]:
        """Return notices of all current crashes, for a new peer."""
        return tuple(
            _to_notice(crash, now) for crash in self._records.current(now)
        )

    def latest_notices(
        self, fingerprint: int, now: float, most: int
    ) -> tuple[CrashNotice, ...]:
        """Return notices of the latest crashes and the trials of a suspect."""
        crashes = self._records.active(fingerprint, now)
        crashes.sort(key=lambda crash: crash.crashed_at)
        trials = self._records.trials(fingerprint, now)
        return tuple(
            _to_notice(crash, now) for crash in crashes[-most:] + trials
        )

    def verdict(
        self,
        fingerprint: int,
        now: float,
        explained: Collection[str] = (),
    ) -> Verdict:
        """Return how a request may run.

        Crashes that something else explains, given by their ids, don't count.
        """
        crashes = len(self.unexplained(fingerprint, now, explained))
        if crashes >= self._settings.max_crashes:
            return Verdict.REJECT
        return Verdict.RUN_ISOLATED if crashes else Verdict.RUN

    def active_crashes(self, now: float) -> Iterator[Crash]:
        """Yield the crashes that count and are not cleared."""
        for crash in self._records.current(now):
            if not crash.cleared:
                yield crash

    def unexplained(
        self, fingerprint: int, now: float, explained: Collection[str]
    ) -> frozenset[str]:
        """Return the ids of the crashes that nothing else explains."""
        return frozenset(
            crash.crash_id
            for crash in self._records.active(fingerprint, now)
            if crash.crash_id not in explained
        )

    def _merge_all(
        self,
        crashes: Iterable[Crash],
        now: float,
    ) -> tuple[CrashNotice, ...]:
        notices = []
        for crash in crashes:
            self._records.merge(crash)
            notices.append(_to_notice(crash, now))
        return tuple(notices)


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


def _cleared(crash: Crash) -> Crash:
    return dataclasses.replace(crash, cleared=True)


def _to_notice(crash: Crash, now: float) -> CrashNotice:
    return CrashNotice(
        crash.fingerprint,
        crash.crash_id,
        now - crash.crashed_at,
        crash.cleared,
    )


__all__ = [
    'Crash',
    'CrashNotice',
    'SuspectRegister',
    'SuspectSettings',
    'Verdict',
    'isolation_target',
    'request_fingerprint',
]
