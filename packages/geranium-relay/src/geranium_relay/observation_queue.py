"""Observed rates of engines that wait to be sent to other hosts."""

import collections
from collections.abc import Iterable

from .peer_updates import Audience
from .rate_observations import MAX_OBSERVATIONS, RateObservation


class ObservationQueue:
    """Holds the latest observations for the next update to each audience."""

    def __init__(self) -> None:
        self._by_audience = {
            audience: collections.deque[RateObservation](
                maxlen=MAX_OBSERVATIONS
            )
            for audience in Audience
        }

    def forward(
        self,
        observations: Iterable[RateObservation],
        audiences: Iterable[Audience] = Audience,
    ) -> None:
        """Queue observations of this host, or of a peer for other peers."""
        known = tuple(observations)
        for audience in audiences:
            self._by_audience[audience].extend(known)

    def take(self, audience: Audience) -> tuple[RateObservation, ...]:
        """Return the observations to send to an audience now."""
        queued = self._by_audience[audience]
        taken = tuple(queued)
        queued.clear()
        return taken
