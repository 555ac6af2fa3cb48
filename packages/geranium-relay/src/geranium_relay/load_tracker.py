"""Tracks requests in flight per target, of this host and of its peers."""

import contextlib
import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping

from .call_errors import NotRunError

MIN_UNREAD_SHARE = 0.6  # of a prompt, until its first token arrives
MIN_EXPECTED_S = 0.001  # for calls without an estimate
SUM_INTERVAL_S = 0.05  # peer updates arrive a few times a second
RANKS = 4  # higher ranks count as the last one


def bounded_rank(rank: int) -> int:
    """Return the rank clamped to the tracked range."""
    return min(max(rank, 0), RANKS - 1)


@dataclasses.dataclass(slots=True)
class Dispatch:
    """A request that was sent to a target.

    Args:
        target: Key of the target.
        rank: Its priority, 0 for the most urgent.
        tokens: Prompt tokens to prefill.
        sent_at: Time at which it was sent.
        expected_s: Expected time to its first token.
        started: Whether its first token has arrived.
        ahead_tokens: Prompt tokens that are assumed to be prefilled before.
    """

    target: str
    rank: int
    tokens: int
    sent_at: float
    expected_s: float
    started: bool = False
    ahead_tokens: float = 0

    def queued_tokens(self, now: float) -> float:
        """Return the estimated number of prompt tokens not yet prefilled.

        A request that takes longer than expected is queued behind others.
        A share of it therefore counts until its first token arrives.
        """
        if self.started:
            return 0
        passed = (now - self.sent_at) / max(self.expected_s, MIN_EXPECTED_S)
        return self.tokens * max(1 - passed, MIN_UNREAD_SHARE)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Requests in flight at a target and queued prompt tokens by rank."""

    running: int
    tokens_by_rank: tuple[float, ...]

    def ahead_of(self, rank: int) -> float:
        """Return the tokens that are prefilled before a request of a rank."""
        return sum(self.tokens_by_rank[: bounded_rank(rank) + 1])


IDLE = TargetLoad(0, (0,) * RANKS)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoads:
    """Loads of a peer or the sum of several, and when they were sent."""

    zone: str
    updated_at: float
    load_by_target: Mapping[str, TargetLoad]

    @property
    def running(self) -> int:
        """Requests in flight at all targets."""
        return sum(load.running for load in self.load_by_target.values())


class LoadTracker:
    """Adds up the dispatches of this host and the latest loads of peers.

    The loads of other zones arrive as sums: of one zone at an aggregator, of
    all other zones at other hosts. A sum replaces the loads of its hosts.

    Args:
        max_update_age_s: Older loads of peers are ignored.
        zone: The availability zone of this host.
    """

    def __init__(self, max_update_age_s: float, zone: str = '') -> None:
        self._max_update_age_s = max_update_age_s
        self._zone = zone
        self._numbers = itertools.count()
        self._own_by_number: dict[int, Dispatch] = {}
        self._closes_at_by_number: dict[int, float] = {}
        self._peers_by_host: dict[str, PeerLoads] = {}
        self._sums_by_zone: dict[str, PeerLoads] = {}
        self._other_zones = PeerLoads('', -math.inf, {})
        self._sum_by_target: dict[str, TargetLoad] = {}
        self._summed_at = -math.inf

    @contextlib.contextmanager
    def counted(self, dispatch: Dispatch) -> Iterator[None]:
        """Count a request that is sent now until the block ends.

        If the target refuses it and asks for a pause, the request counts until
        the pause ends: peers see the load that the target can't take.
        """
        number = self.open(dispatch)
        try:
            yield
        except NotRunError as refusal:
            if refusal.paused_until is not None:
                self._closes_at_by_number[number] = refusal.paused_until
            raise
        finally:
            self.close(number)

    def open(self, dispatch: Dispatch) -> int:
        """Count a request that is sent now, and return the number to close."""
        number = next(self._numbers)
        self._own_by_number[number] = dispatch
        return number

    def close(self, number: int) -> None:
        """Stop counting a request, unless its target asked for a pause."""
        if number not in self._closes_at_by_number:
            self._own_by_number.pop(number, None)

    def update_peer(
        self,
        host: str,
        load_by_target: Mapping[str, TargetLoad],
        now: float,
        zone: str = '',
    ) -> None:
        """Store the loads that a peer sent at ``now``, unless outdated."""
        known = self._peers_by_host.get(host)
        if known is None or known.updated_at <= now:
            self._peers_by_host[host] = PeerLoads(zone, now, load_by_target)

    def update_zone(
        self, zone: str, load_by_target: Mapping[str, TargetLoad], now: float
    ) -> None:
        """Store the summed loads of another zone."""
        self._sums_by_zone[zone] = PeerLoads(zone, now, load_by_target)

    def update_other_zones(
        self, load_by_target: Mapping[str, TargetLoad], now: float
    ) -> None:
        """Store the summed loads of all other zones."""
        self._other_zones = PeerLoads('', now, load_by_target)

    def local_loads(self, now: float) -> dict[str, TargetLoad]:
        """Return this host's load by target, as it is sent to peers."""
        self._close_due(now)
        load_by_target: dict[str, TargetLoad] = {}
        for dispatch in self._own_by_number.values():
            known = load_by_target.get(dispatch.target, IDLE)
            load_by_target[dispatch.target] = _add(
                known,
                _load_of(dispatch, now),
            )
        return load_by_target

    def total_loads(self, now: float) -> dict[str, TargetLoad]:
        """Return the combined load of all hosts by target."""
        load_by_target = self.local_loads(now)
        _add_all(load_by_target, self.peer_loads(now).items())
        return load_by_target

    def peer_loads(self, now: float) -> Mapping[str, TargetLoad]:
        """Return the summed load of peers, cached for ``SUM_INTERVAL_S``."""
        if now - self._summed_at > SUM_INTERVAL_S:
            self._summed_at = now
            near = self.zone_peers(now).values()
            self._sum_by_target = self.other_zones_sum(now)
            for peer in near:
                _add_all(self._sum_by_target, peer.load_by_target.items())
        return self._sum_by_target

    def zone_peers(self, now: float) -> dict[str, PeerLoads]:
        """Return the loads of the other hosts of this zone, by host."""
        oldest = now - self._max_update_age_s
        return {
            host: peer
            for host, peer in self._peers_by_host.items()
            if peer.zone == self._zone and peer.updated_at >= oldest
        }

    def running_by_host(self, now: float) -> dict[str, int]:
        """Return the requests that other hosts have in flight at targets.

        Only hosts whose own loads are known are listed.
        """
        oldest = now - self._max_update_age_s
        return {
            host: peer.running
            for host, peer in self._peers_by_host.items()
            if peer.updated_at >= oldest
        }

    def zone_sum(self, now: float) -> dict[str, TargetLoad]:
        """Return the summed load of this zone, including this host's."""
        load_by_target = self.local_loads(now)
        for peer in self.zone_peers(now).values():
            _add_all(load_by_target, peer.load_by_target.items())
        return load_by_target

    def other_zones_sum(self, now: float) -> dict[str, TargetLoad]:
        """Return the summed load of all other zones."""
        oldest = now - self._max_update_age_s
        sums_by_zone = {
            zone: known
            for zone, known in self._sums_by_zone.items()
            if known.updated_at >= oldest
        }
        if not sums_by_zone and self._other_zones.updated_at >= oldest:
            return dict(self._other_zones.load_by_target)
        load_by_target: dict[str, TargetLoad] = {}
        for known in sums_by_zone.values():
            _add_all(load_by_target, known.load_by_target.items())
        for peer in self._peers_by_host.values():
            far = peer.zone != self._zone and peer.zone not in sums_by_zone
            if far and peer.updated_at >= oldest:
                _add_all(load_by_target, peer.load_by_target.items())
        return load_by_target

    @property
    def open_count(self) -> int:
        """Number of requests that this host has in flight at targets."""
        return len(self._own_by_number) - len(self._closes_at_by_number)

    def _close_due(self, now: float) -> None:
        due = [
            number
            for number, instant in self._closes_at_by_number.items()
            if instant <= now
        ]
        for number in due:
            self._closes_at_by_number.pop(number)
            self.close(number)


def _add_all(
    load_by_target: dict[str, TargetLoad],
    loads: Iterable[tuple[str, TargetLoad]],
) -> None:
    for target, load in loads:
        known = load_by_target.get(target, IDLE)
        load_by_target[target] = _add(known, load)


def _load_of(dispatch: Dispatch, now: float) -> TargetLoad:
    own_rank = bounded_rank(dispatch.rank)
    queued = dispatch.queued_tokens(now)
    return TargetLoad(
        1,
        tuple(queued if rank == own_rank else 0 for rank in range(RANKS)),
    )


def _add(one: TargetLoad, other: TargetLoad) -> TargetLoad:
    tokens = zip(one.tokens_by_rank, other.tokens_by_rank, strict=True)
    return TargetLoad(
        one.running + other.running,
        tuple(first + second for first, second in tokens),
    )
