"""Trials of what was taken for the cause of crashes.

A request that nobody sends can't be shown to be sound. Once no crash has
happened under a cause for a while, one request with it is therefore sent, at
one host. All hosts choose the same host, and learn of a trial by the notice
that it has begun.
"""

import dataclasses
from collections.abc import Collection, Iterable

import xxhash

from .suspects import CrashNotice, SuspectRegister


@dataclasses.dataclass(frozen=True, slots=True)
class CauseTrialSettings:
    """When causes are tried.

    Args:
        first_pause_s: Time from the last crash to the first trial.
        pause_factor: Each further pause is this many times as long. It begins
            with the last trial, or with a later crash.
        max_crashes: Targets that a cause may cost, with those of its trials,
            before the longest pause.
        longest_pause_s: Must be so short that its trials keep enough crashes
            known for a cause.
        turn_s: Time after which the turn passes to another host, if the one
            that is chosen gets no request.
        settle_s: Time at the end of a turn in which no trial begins, so that
            the hosts know of one before the next turn.
        pass_on_s: Minimum interval at which a host passes on a request to the
            one whose turn it is. That host may know of the crashes later.
    """

    first_pause_s: float = 10
    pause_factor: float = 4
    max_crashes: int = 5
    longest_pause_s: float = 240
    turn_s: float = 5
    settle_s: float = 2
    pass_on_s: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """What crashes targets, and the ids of the crashes that it explains."""

    fingerprints: frozenset[int]
    crash_ids: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The next trial of a cause.

    Args:
        fingerprints: What is tried.
        due_at: Instant from which it may begin.
        turn: Number of the turn, 0 at first.
        is_open: Whether it may begin now.
    """

    fingerprints: frozenset[int]
    due_at: float
    turn: int
    is_open: bool

    def host(self, hosts: Iterable[str]) -> str | None:
        """Return the host whose turn it is, by a rendezvous hash."""
        names = sorted(map(str, self.fingerprints))
        trial = '/'.join((*names, str(self.turn)))
        return max(
            hosts,
            key=lambda host: xxhash.xxh3_64_intdigest(
                f'{trial}/{host}'.encode()
            ),
            default=None,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _History:
    """When targets crashed under a cause, and when its trials began."""

    crashed_at: tuple[float, ...]
    begun_at: tuple[float, ...]

    @property
    def spent(self) -> int:
        """How many targets it has cost, with trials that may still do so."""
        if not self.begun_at:
            return len(self.crashed_at)
        before = sum(at < self.begun_at[0] for at in self.crashed_at)
        after = len(self.crashed_at) - before
        return before + max(len(self.begun_at), after)

    @property
    def last_at(self) -> float:
        """When the last crash happened, or the last trial began."""
        return max((*self.crashed_at, *self.begun_at), default=0)


class CauseTrials:
    """Determines when causes are tried, and records trials.

    Args:
        settings: When causes are tried.
        register: The crashes and trials known to this host.
    """

    def __init__(
        self, settings: CauseTrialSettings, register: SuspectRegister
    ) -> None:
        self.settings = settings
        self._register = register
        self._passed_on_at: dict[frozenset[int], float] = {}

    def next_trial(
        self, cause: Cause, now: float, *, has_limit: bool
    ) -> Trial | None:
        """Return the next trial.

        Args:
            cause: What is tried.
            now: The current time.
            has_limit: Whether there is none once the cause has cost
                ``max_crashes`` targets. A part of prompts is tried all the
                same: all requests with it would be sent when the evidence
                lapses.
        """
        history = self._history(cause, now)
        if has_limit and history.spent >= self.settings.max_crashes:
            return None
        due_at = history.last_at + self._pause_s(history)
        turn, into_turn_s = divmod(now - due_at, self.settings.turn_s)
        open_s = self.settings.turn_s - self.settings.settle_s
        is_open = now >= due_at and into_turn_s < open_s
        return Trial(cause.fingerprints, due_at, int(turn), is_open)

    def begin(
        self, trial: Trial, name: str, now: float
    ) -> tuple[CrashNotice, ...]:
        """Record that a trial begins.

        Args:
            trial: The trial.
            name: Identifies it among all trials.
            now: The current time.

        Returns:
            Notices to send to peers immediately.
        """
        return self._register.record_trial(trial.fingerprints, name, now)

    def may_pass_on(self, trial: Trial, now: float) -> bool:
        """Return whether a request may go to the host whose turn it is.

        Only a few are passed on, so that requests which must wait cost no
        messages.
        """
        self._passed_on_at = {
            fingerprints: at
            for fingerprints, at in self._passed_on_at.items()
            if now - at < self.settings.pass_on_s
        }
        if trial.fingerprints in self._passed_on_at:
            return False
        self._passed_on_at[trial.fingerprints] = now
        return True

    def is_confirmed(
        self, fingerprint: int, crashed_at: Collection[float], now: float
    ) -> bool:
        """Return whether a trial failed, or as many crashes have happened."""
        if len(crashed_at) >= self.settings.max_crashes:
            return True
        begun_at = self._register.trials(fingerprint, now)
        return bool(begun_at) and max(crashed_at, default=0) > begun_at[0]

    def _pause_s(self, history: _History) -> float:
        if history.spent >= self.settings.max_crashes:
            return self.settings.longest_pause_s
        factor = self.settings.pause_factor ** len(history.begun_at)
        pause_s = self.settings.first_pause_s * factor
        return min(pause_s, self.settings.longest_pause_s)

    def _history(self, cause: Cause, now: float) -> _History:
        """Return the crashes of a cause, and the trials since the first one."""
        crashed_at = self._register.crashed_at(cause.crash_ids, now)
        since = min(crashed_at, default=now)
        trials = (
            self._register.trials(fingerprint, now)
            for fingerprint in cause.fingerprints
        )
        begun_at = max(trials, key=len, default=())
        return _History(crashed_at, tuple(at for at in begun_at if at >= since))
