"""Which host gets a request that this host can't send itself.

With most hosts of a fleet cut from the targets, the few others get the
requests of all. The hosts that pass requests on know loads that are a
fraction of a second old, so all would choose the same least loaded host. Each
therefore compares a few hosts that it draws at random.
"""

import dataclasses
import random
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChoiceSettings:
    """Parameters of the comparison of hosts.

    Args:
        compared: Hosts drawn from this zone, and as many from the others.
        cross_zone_requests: Cost of another zone, as requests in flight.
    """

    compared: int = 2
    cross_zone_requests: int = 8


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """A host that reaches the service.

    Args:
        name: Its name.
        same_zone: Whether it is in the zone of this host.
        in_flight: Requests that it is known to have in flight.
    """

    name: str
    same_zone: bool
    in_flight: int


class PeerChooser:
    """Chooses the host with the least load of a few drawn at random."""

    def __init__(
        self, settings: PeerChoiceSettings, source: random.Random
    ) -> None:
        self._settings = settings
        self._source = source

    def choose(self, peers: Sequence[PeerState]) -> str | None:
        """Return the chosen host's name, or ``None`` without hosts."""
        near = [peer for peer in peers if peer.same_zone]
        far = [peer for peer in peers if not peer.same_zone]
        compared = (*self._draw(near), *self._draw(far))
        best = min(compared, key=self._cost, default=None)
        return None if best is None else best.name

    def _draw(self, peers: list[PeerState]) -> list[PeerState]:
        count = min(self._settings.compared, len(peers))
        return self._source.sample(peers, count)

    def _cost(self, peer: PeerState) -> int:
        if peer.same_zone:
            return peer.in_flight
        return peer.in_flight + self._settings.cross_zone_requests
