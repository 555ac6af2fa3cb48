"""Backoff from targets that refuse requests.

The load pattern: under overload, or in trouble, some targets refuse much of
what they are sent, while the loads that hosts know of them are low, since what
they refuse never runs. Hosts that choose by load send them ever more, and each
refusal uses up a retry. A target that refuses is therefore left out for a
moment, which doubles with each further refusal and halves with each request
that it accepts, so that one that is full only now and then is used again at
once.
"""

import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalSettings:
    """Parameters of the backoff.

    Args:
        base_s: Backoff after a refusal of a target that accepted the last
            requests.
        max_s: Upper bound of the backoff before jitter.
        jitter_share: Maximum random increase, as a share, so that hosts don't
            return simultaneously.
    """

    base_s: float = 0.0625
    max_s: float = 4
    jitter_share: float = 0.5


@dataclasses.dataclass(slots=True)
class _Backoff:
    next_s: float
    until: float


class RefusalBackoff:
    """Tells which targets have just refused requests of this host."""

    def __init__(
        self, settings: RefusalSettings, source: random.Random
    ) -> None:
        self._settings = settings
        self._source = source
        self._backoffs_by_target: dict[str, _Backoff] = {}

    def record_refused(self, target: str, now: float) -> None:
        """Record that a target has refused a request.

        Requests that are refused while it is left out were sent before.
        """
        settings = self._settings
        known = self._backoffs_by_target.get(target)
        if known is not None and now < known.until:
            return
        backoff_s = settings.base_s if known is None else known.next_s
        jitter = 1 + self._source.uniform(0, settings.jitter_share)
        self._backoffs_by_target[target] = _Backoff(
            min(2 * backoff_s, settings.max_s), now + backoff_s * jitter
        )

    def record_accepted(self, target: str) -> None:
        """Record that a target has accepted a request."""
        known = self._backoffs_by_target.get(target)
        if known is None:
            return
        known.next_s /= 2
        if known.next_s <= self._settings.base_s:
            self._backoffs_by_target.pop(target)

    def refusing(self, now: float) -> frozenset[str]:
        """Return the targets to leave out now if others are usable."""
        return frozenset(
            target
            for target, backoff in self._backoffs_by_target.items()
            if backoff.until > now
        )

    def remove(self, target: str) -> None:
        """Forget a target that no longer exists."""
        self._backoffs_by_target.pop(target, None)
