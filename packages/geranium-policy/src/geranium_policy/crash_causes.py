"""Attribution of target crashes to what the requests under them had in common.

A part of a prompt may crash each target that runs a request with it. Such
requests have nothing else in common, so rejecting each after its own crashes
does not stop them. Other requests were running on the targets too, and share
further parts with the harmful ones; they must be served.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence, Set
from typing import TypeAlias

from .cause_trials import Cause, CauseTrials, CauseTrialSettings, Trial
from .suspects import CrashNotice, SuspectRegister, Verdict
from .unproven_crashes import UnprovenCrashes, UnprovenCrashSettings


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCauseSettings:
    """When crashes are attributed to a cause.

    Args:
        min_crashes: Crashes that a cause must explain.
        moment_s: Crashes of a sound part that are this close together count
            as one: many targets may end at once for reasons of their own.
        evidence_s: Time after which a crash is no evidence any more, so that
            a wrong conclusion does not last.
        confirmed_evidence_s: The same once a trial has failed, or as many
            crashes have happened.
        max_sound_parts: Maximum number of parts known to be sound. The least
            recently completed are dropped first.
        withdraw_after_s: A target that serves on this long after its crash
            has not crashed. For a shorter time, another start of it may not
            be listed yet.
        trials: When causes are tried.
        unproven: How long broken runs are kept that may have been crashes.
    """

    min_crashes: int = 3
    moment_s: float = 0.25
    evidence_s: float = 300
    confirmed_evidence_s: float = 900
    max_sound_parts: int = 8192
    withdraw_after_s: float = 10
    trials: CauseTrialSettings = dataclasses.field(
        default_factory=CauseTrialSettings
    )
    unproven: UnprovenCrashSettings = dataclasses.field(
        default_factory=UnprovenCrashSettings
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFingerprints:
    """Hashes that identify a request and the parts it may share with others."""

    request: int
    parts: tuple[int, ...] = ()

    @property
    def every(self) -> tuple[int, ...]:
        """The hash of the request, then those of its parts."""
        return self.request, *self.parts


_CrashedAtById: TypeAlias = Mapping[str, float]


class CrashCauses:
    """Finds the parts that crash targets, and rejects requests with them.

    A completed request clears its parts of the crashes known so far. Parts
    that can't be told apart, as all crashes happened under both, are a cause
    only together.

    Args:
        settings: When crashes are attributed.
        register: The crashes known to this host.

    ``trials`` records the trials of causes, ``unproven`` the broken runs of
    which it is not known yet whether their targets have crashed.
    """

    def __init__(
        self, settings: CrashCauseSettings, register: SuspectRegister
    ) -> None:
        self.trials = CauseTrials(settings.trials, register)
        self.unproven = UnprovenCrashes(settings.unproven, register)
        self._settings = settings
        self._register = register
        self._sound_parts = collections.OrderedDict[int, None]()
        self._causes: tuple[Cause, ...] = ()
        self._revision = register.revision
        self._expires_at = math.inf

    def rejects(self, fingerprints: RequestFingerprints, now: float) -> bool:
        """Return whether a request would crash the target that runs it."""
        return self.verdict(fingerprints, now) is Verdict.REJECT

    def verdict(self, fingerprints: RequestFingerprints, now: float) -> Verdict:
        """Return how a request may run.

        A request that only ran on targets as they crashed under others is no
        suspect: their cause explains those crashes.
        """
        if self._matching(fingerprints, now):
            return Verdict.REJECT
        return self._register.verdict(
            fingerprints.request, now, self._explained(now)
        )

    def next_trial(
        self, fingerprints: RequestFingerprints, now: float
    ) -> Trial | None:
        """Return the next trial for which a rejected request may be sent.

        ``None`` means that there is none before the evidence has lapsed, or
        that the request is rejected for several causes: its run would tell
        nothing about one of them.
        """
        matching = self._matching(fingerprints, now)
        if not matching:
            request = fingerprints.request
            crash_ids = self._register.unexplained(
                request, now, self._explained(now)
            )
            matching = (Cause(frozenset((request,)), crash_ids),)
        if len(matching) > 1:
            return None
        cause = matching[0]
        return self.trials.next_trial(
            cause, now, has_limit=fingerprints.request in cause.fingerprints
        )

    def record_crash(
        self, fingerprints: RequestFingerprints, crash_id: str, now: float
    ) -> tuple[CrashNotice, ...]:
        """Record that a target crashed under a request.

        It proves the crash for the other runs that broke on the target.

        Returns:
            Notices to send to peers immediately.
        """
        self.unproven.add(
            fingerprints.request, fingerprints.parts, crash_id, now
        )
        return self.unproven.prove(crash_id, now)

    def record_completion(
        self, fingerprints: RequestFingerprints, now: float
    ) -> tuple[CrashNotice, ...]:
        """Record that a request was completed.

        Returns:
            Notices to send to peers immediately.
        """
        self.unproven.clear(fingerprints.request, fingerprints.parts)
        for part in fingerprints.parts:
            self._sound_parts[part] = None
            self._sound_parts.move_to_end(part)
        while len(self._sound_parts) > self._settings.max_sound_parts:
            self._sound_parts.popitem(last=False)
        return tuple(
            notice
            for fingerprint in fingerprints.every
            for notice in self._register.clear(fingerprint, now)
        )

    def record_response(
        self, crash_id: str, served_at: float, now: float
    ) -> tuple[CrashNotice, ...]:
        """Record that a target responds, which disproves an earlier crash.

        Args:
            crash_id: The id under which its crash would be recorded.
            served_at: Instant at which the same start of the target is known
                to have served.
            now: The current time.

        Returns:
            Notices to send to peers immediately.
        """
        before = served_at - self._settings.withdraw_after_s
        return self._register.withdraw(crash_id, before, now)

    def proofs(self, now: float) -> tuple[CrashNotice, ...]:
        """Return the latest crashes and the trials of each cause.

        They are sent continuously.

        A host that was cut off or has just started learns the causes from
        them.
        """
        most = max(self._settings.min_crashes, self.trials.settings.max_crashes)
        notices: list[CrashNotice] = []
        causes = [cause.fingerprints for cause in self._current_causes(now)]
        for fingerprint in itertools.chain.from_iterable(causes):
            latest = self._register.latest_notices(fingerprint, now, most)
            notices.extend(latest)
        return tuple(notices)

    def _matching(
        self, fingerprints: RequestFingerprints, now: float
    ) -> tuple[Cause, ...]:
        """Return the causes that a request has in it."""
        known = frozenset(fingerprints.every)
        return tuple(
            cause
            for cause in self._current_causes(now)
            if cause.fingerprints <= known
        )

    def _explained(self, now: float) -> frozenset[str]:
        """Return the ids of the crashes that causes explain."""
        return frozenset().union(
            *(cause.crash_ids for cause in self._current_causes(now))
        )

    def _current_causes(self, now: float) -> tuple[Cause, ...]:
        revision = self._register.revision
        if revision != self._revision or now >= self._expires_at:
            self._revision = revision
            self._causes = tuple(self._find_causes(now))
        return self._causes

    def _find_causes(self, now: float) -> Iterable[Cause]:
        """Yield causes, each of crashes that no earlier one explains.

        Parts that are not known to be sound come first: they explain the
        crashes of sound parts that were in the same requests.
        """
        crashes_by_fingerprint = self._evidence(now)
        explained: set[str] = set()
        sound = [
            fingerprint
            for fingerprint in crashes_by_fingerprint
            if fingerprint in self._sound_parts
        ]
        unproven = crashes_by_fingerprint.keys() - set(sound)
        for suspects in (unproven, sound):
            while cause := self._find_cause(
                suspects, crashes_by_fingerprint, explained
            ):
                crash_ids = frozenset(crashes_by_fingerprint[next(iter(cause))])
                explained.update(crash_ids)
                yield Cause(cause, crash_ids)

    def _evidence(self, now: float) -> dict[int, dict[str, float]]:
        """Return the recent crashes of what enough of them happened under."""
        self._expires_at = math.inf
        crashes_by_fingerprint: dict[int, dict[str, float]] = {}
        for crash in self._register.active_crashes(now):
            crashes = crashes_by_fingerprint.setdefault(crash.fingerprint, {})
            crashes[crash.crash_id] = crash.crashed_at
        recent_by_fingerprint = {
            fingerprint: self._recent(fingerprint, crashes, now)
            for fingerprint, crashes in crashes_by_fingerprint.items()
            if len(crashes) >= self._settings.min_crashes
        }
        return {
            fingerprint: crashes
            for fingerprint, crashes in recent_by_fingerprint.items()
            if len(crashes) >= self._settings.min_crashes
        }

    def _recent(
        self, fingerprint: int, crashes: _CrashedAtById, now: float
    ) -> dict[str, float]:
        evidence_s = self._settings.evidence_s
        if self.trials.is_confirmed(fingerprint, crashes.values(), now):
            evidence_s = self._settings.confirmed_evidence_s
        recent = {
            crash_id: at
            for crash_id, at in crashes.items()
            if at > now - evidence_s
        }
        self._expires_at = min(
            self._expires_at, min(recent.values(), default=now) + evidence_s
        )
        return recent

    def _find_cause(
        self,
        suspects: Collection[int],
        crashes_by_fingerprint: Mapping[int, _CrashedAtById],
        explained: Set[str],
    ) -> frozenset[int]:
        """Return the suspects with the most crashes; empty if none has enough.

        It is empty too if several have as many, not all in common: the next
        crash will tell.
        """
        unexplained_by_suspect = {
            suspect: frozenset(crashes_by_fingerprint[suspect]) - explained
            for suspect in suspects
        }
        weight_by_suspect = {
            suspect: self._weigh(
                suspect,
                [crashes_by_fingerprint[suspect][one] for one in crashes],
            )
            for suspect, crashes in unexplained_by_suspect.items()
        }
        most = max(weight_by_suspect.values(), default=0)
        if most < self._settings.min_crashes:
            return frozenset()
        heaviest = [
            suspect
            for suspect, weight in weight_by_suspect.items()
            if weight == most
        ]
        crashes = unexplained_by_suspect[heaviest[0]]
        alike = {
            suspect
            for suspect in heaviest
            if unexplained_by_suspect[suspect] == crashes
        }
        if any(
            unexplained_by_suspect[suspect] & crashes
            for suspect in heaviest
            if suspect not in alike
        ):
            return frozenset()
        return frozenset(alike)

    def _weigh(self, suspect: int, crashed_at: Sequence[float]) -> int:
        if suspect not in self._sound_parts:
            return len(crashed_at)
        moments = 0
        moment_ends_at = -math.inf
        for instant in sorted(crashed_at):
            if instant > moment_ends_at:
                moments += 1
                moment_ends_at = instant + self._settings.moment_s
        return moments
