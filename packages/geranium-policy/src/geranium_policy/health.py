"""Health: targets that fail are set aside for a while and tried again."""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import TypeAlias

SLOW_FAILURES = 0.5
RESPONSE_TIMEOUT_FAILURES = 1.5
UNREACHABLE_FAILURES = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Responded:
    """The target answered in ``duration_s`` where ``expected_s`` was due."""

    duration_s: float
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseTimeout:
    """The target accepted a request and sent nothing by the timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The target refused the connection or broke it."""


Observation: TypeAlias = Responded | ResponseTimeout | Unreachable


@dataclasses.dataclass(frozen=True, slots=True)
class HealthSettings:
    """When a target is set aside and when it is tried again.

    Args:
        failures_to_eject: Failures in a row that set a target aside. A slow
            answer counts ``SLOW_FAILURES``, a silent target
            ``RESPONSE_TIMEOUT_FAILURES``.
        slow_factor: An answer is slow if it took so many times what was
            expected, and more than ``slow_s`` longer.
        slow_s: See ``slow_factor``.
        base_ejection_s: How long a target is set aside the first time; each
            further time in a row doubles it.
        max_ejection_s: Upper bound of that.
        probe_timeout_s: A probe without a result is given up after this.
        max_ejected_share: Of a service's targets so many may be set aside.
        jitter_share: Random lengthening of an ejection, so that daemons do
            not probe at once.
    """

    failures_to_eject: float = 3
    slow_factor: float = 4
    slow_s: float = 0.5
    base_ejection_s: float = 2
    max_ejection_s: float = 60
    probe_timeout_s: float = 5
    max_ejected_share: float = 0.5
    jitter_share: float = 0.2


@dataclasses.dataclass(slots=True)
class _TargetHealth:
    failures: float = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    probe_deadline: float = -math.inf

    @property
    def ejected(self) -> bool:
        return self.ejections > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Availability:
    """Which targets of a service to use.

    ``usable`` take ordinary requests. ``probes`` are set aside and due to be
    tried again with one request each, after :meth:`HealthTracker.start_probe`.
    """

    usable: tuple[str, ...]
    probes: tuple[str, ...]


class HealthTracker:
    """Sets aside targets that are slow, silent or unreachable."""

    def __init__(self, settings: HealthSettings, source: random.Random) -> None:
        self._settings = settings
        self._source = source
        self._health_by_target: dict[str, _TargetHealth] = {}

    def observe(
        self,
        target: str,
        observation: Observation,
        now: float,
    ) -> None:
        """Take in how a request or a probe at the target went."""
        failures = self._failures(observation)
        health = self._health_by_target.get(target)
        if health is None:
            if not failures:
                return
            health = _TargetHealth()
            self._health_by_target[target] = health
        if not failures:
            self._recover(target, health, now)
            return
        health.failures += failures
        if health.ejected:
            self._eject_again(health, now)
        elif health.failures >= self._settings.failures_to_eject:
            self._eject(health, now)

    def availability(
        self,
        targets: Iterable[str],
        now: float,
    ) -> Availability:
        """Divide a service's targets into usable ones and due probes.

        At most the bounded share is left out, the longest-failing first, and
        if all of them fail, all are usable.
        """
        names = tuple(targets)
        ejected = [name for name in names if self._is_ejected(name)]
        if not ejected or len(ejected) == len(names):
            return Availability(names, ())
        ejected.sort(key=lambda name: -self._health_by_target[name].ejections)
        bound = int(self._settings.max_ejected_share * len(names))
        left_out = frozenset(ejected[:bound])
        return Availability(
            usable=tuple(name for name in names if name not in left_out),
            probes=tuple(
                name for name in names if self._is_due(name, left_out, now)
            ),
        )

    def start_probe(self, target: str, now: float) -> None:
        """Note that the target is tried with one request from now."""
        health = self._health_by_target.get(target)
        if health is None:
            return
        health.probe_deadline = now + self._settings.probe_timeout_s

    def remove(self, target: str) -> None:
        """Forget a target that has left the service."""
        self._health_by_target.pop(target, None)

    def _failures(self, observation: Observation) -> float:
        settings = self._settings
        match observation:
            case Responded():
                late_s = observation.duration_s - observation.expected_s
                bound_s = settings.slow_factor * observation.expected_s
                slow = observation.duration_s > bound_s
                slow = slow and late_s > settings.slow_s
                return SLOW_FAILURES if slow else 0
            case ResponseTimeout():
                return RESPONSE_TIMEOUT_FAILURES
            case Unreachable():
                return UNREACHABLE_FAILURES

    def _recover(
        self,
        target: str,
        health: _TargetHealth,
        now: float,
    ) -> None:
        health.failures = 0
        if not health.ejected or now >= health.ejected_until:
            self._health_by_target.pop(target)

    def _eject(self, health: _TargetHealth, now: float) -> None:
        health.ejections += 1
        settings = self._settings
        length_s = min(
            settings.base_ejection_s * 2 ** (health.ejections - 1),
            settings.max_ejection_s,
        )
        length_s *= 1 + settings.jitter_share * self._source.random()
        health.ejected_until = now + length_s
        health.probe_deadline = -math.inf

    def _eject_again(self, health: _TargetHealth, now: float) -> None:
        # Requests that were under way when it was set aside fail late.
        if now >= health.ejected_until:
            self._eject(health, now)

    def _is_ejected(self, target: str) -> bool:
        health = self._health_by_target.get(target)
        return health is not None and health.ejected

    def _is_due(
        self,
        target: str,
        left_out: frozenset[str],
        now: float,
    ) -> bool:
        if target not in left_out:
            return False
        health = self._health_by_target[target]
        return now >= max(health.ejected_until, health.probe_deadline)
