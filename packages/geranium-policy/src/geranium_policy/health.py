"""Passive health checks: ejection and probing of failing targets."""

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
    """The target responded in ``duration_s``; ``expected_s`` was expected."""

    duration_s: float
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseTimeout:
    """The target accepted a request but sent nothing before the timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The target refused or closed the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkChanged:
    """This host's link to the targets was cut or is back.

    Earlier failures say nothing of the target.
    """


Observation: TypeAlias = Responded | ResponseTimeout | Unreachable | LinkChanged


@dataclasses.dataclass(frozen=True, slots=True)
class HealthSettings:
    """Parameters of ejection and probing.

    Args:
        failures_to_eject: Consecutive failures after which a target is
            ejected. A slow response counts ``SLOW_FAILURES``, a response
            timeout ``RESPONSE_TIMEOUT_FAILURES``.
        slow_factor: A response is slow if it took more than ``slow_factor``
            times the expected time and more than ``slow_s`` longer.
        slow_s: See ``slow_factor``.
        base_ejection_s: Duration of the first ejection. Each consecutive
            ejection doubles it.
        max_ejection_s: Upper bound of the duration before jitter.
        probe_timeout_s: Time after which a probe without a result is
            repeated.
        max_ejected_share: Maximum share of a service's targets that are
            ejected.
        jitter_share: Maximum random increase of an ejection, as a share of
            it, so that daemons don't probe simultaneously.
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
    """The usable targets of a service and the targets to probe.

    ``usable`` targets take ordinary requests. ``probes`` are ejected targets
    that are due for a probe with one request each, after a call of
    :meth:`HealthTracker.start_probe`.
    """

    usable: tuple[str, ...]
    probes: tuple[str, ...]


class HealthTracker:
    """Ejects targets that are slow, unresponsive or unreachable."""

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
        """Record the result of a request or a probe."""
        if isinstance(observation, LinkChanged):
            self.remove(target)
            return
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
        """Return a service's usable targets and the probes that are due.

        At most ``max_ejected_share`` of the targets are excluded, those with
        the most consecutive ejections first. If all targets are ejected, all
        are usable.
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
        """Record that a probe of the target starts now."""
        health = self._health_by_target.get(target)
        if health is None:
            return
        health.probe_deadline = now + self._settings.probe_timeout_s

    def remove(self, target: str) -> None:
        """Remove a target that has left the service."""
        self._health_by_target.pop(target, None)

    def _failures(
        self, observation: Responded | ResponseTimeout | Unreachable
    ) -> float:
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
        # Requests that were in flight at the ejection may fail later and
        # must not extend it.
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
