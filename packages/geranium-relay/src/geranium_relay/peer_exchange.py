"""Exchanges updates with the other hosts over UDP."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from .clock import BootClock, ClusterClock
from .datagrams import Address, DatagramEndpoint, Encode
from .decision_log import DecisionLog
from .messages import PeerIdentity
from .peer_loads import PeerLoadRecorder
from .peer_updates import (
    Audience,
    KeysByHash,
    MalformedUpdateError,
    PeerUpdate,
    decode_peer_update,
    encode_peer_update,
)
from .peers import Peers
from .topology import FullMesh, Topology, ZoneAggregator, ZoneMember
from .update_composer import PeerUpdateSources, UpdateComposer


class DatagramSender(Protocol):
    """Sends datagrams to addresses."""

    def send_all(self, encode: Encode, addresses: Iterable[Address]) -> None:
        """Send a datagram to each address."""
        ...


class PeerExchange:
    """Sends this host's updates to other hosts and applies theirs.

    Args:
        peers: The other hosts.
        sources: Contents of updates; its load tracker receives peer loads.
        time: Cluster time.
        clock: Monotonic clock.
        on_update: Called with each update and with the target keys by hash.
        log: Receives a record of each update that can't be read.
    """

    def __init__(
        self,
        peers: Peers,
        sources: PeerUpdateSources,
        time: ClusterClock,
        clock: BootClock,
        on_update: Callable[[PeerUpdate, KeysByHash], None],
        log: DecisionLog,
    ) -> None:
        self._peers = peers
        self._sources = sources
        self._composer = UpdateComposer(peers, sources, time, clock)
        self._time = time
        self._clock = clock
        self._on_update = on_update
        self._log = log
        self._transport: DatagramSender | None = None
        self._endpoint = DatagramEndpoint(self, clock, log, peers.settings.pace)
        self._load_recorder = PeerLoadRecorder(peers, sources.loads)
        self._topology: Topology = FullMesh()
        self._next_far_at = -math.inf

    def set_target_keys(self, keys: frozenset[str]) -> None:
        """Set the targets whose hashes in updates are resolved."""
        self._load_recorder.set_target_keys(keys)

    async def run(self) -> None:
        """Send updates until cancelled."""
        self._endpoint.open(_split_address(self._peers.own.address))
        self.connection_made(self._endpoint)
        try:
            while True:
                self._endpoint.read()
                delay_s = self.send_due()
                await asyncio.sleep(delay_s)
                await self._endpoint.wait_until_idle()
        finally:
            self._endpoint.close()

    def connection_made(self, transport: DatagramSender) -> None:
        """Send over a transport from now on."""
        self._transport = transport

    def send_due(self) -> float:
        """Send the updates that are due; return the delay until the next."""
        self._time.adjust(self._peers.take_clock_correction_s())
        self._topology = self._peers.topology()
        self._send_by_topology(self._topology)
        return self._interval_s(self._topology)

    def broadcast(self) -> None:
        """Send this host's update to all others once, before all that waits."""
        self._endpoint.clear()
        self._send_to_all(*Audience)

    def announce(self) -> None:
        """Send this host's update now to those that pass on its changes.

        Changes that come while the link still carries an update are announced
        together.
        """
        if self._endpoint.is_waiting:
            self._endpoint.on_idle = self.announce
            return
        match self._peers.topology():
            case FullMesh():
                self.broadcast()
            case ZoneMember() as member:
                self._send_to_aggregators(member)
            case ZoneAggregator() as aggregator:
                self._send_reports(aggregator)

    def datagram_received(
        self,
        data: bytes,
        addr: tuple[str | int, int],
    ) -> None:
        """Apply a received update; drop one that can't be read."""
        try:
            update = decode_peer_update(data)
        except MalformedUpdateError as error:
            reason = str(error).partition('\n')[0]
            self._log.record('update_unreadable', address=addr[0], error=reason)
            return
        if self._transport is self._endpoint:
            update = dataclasses.replace(
                update, waiting_since=self._endpoint.waiting_since
            )
        arrived_at = update.arrived_at(self._clock.now())
        self._peers.handle_update(update, self._time.now())
        self._load_recorder.record(update, arrived_at)
        self._forward_notices(update)
        self._on_update(update, self._load_recorder.keys_by_hash)

    def _send_by_topology(self, topology: Topology) -> None:
        now = self._clock.now()
        # The next iteration may run slightly early or much too late.
        far_due = now + self._interval_s(topology) / 2 >= self._next_far_at
        if far_due:
            self._next_far_at = now + self._peers.intervals.direct_s()
        match topology:
            case FullMesh():
                audiences = Audience if far_due else (Audience.NEAR,)
                self._send_to_all(*audiences)
            case _ if far_due and self._sources.usage():
                # Only direct updates contain usage that is not written yet.
                self.broadcast()
            case ZoneMember() as member:
                self._send_to_aggregators(member)
            case ZoneAggregator() as aggregator:
                self._send_reports(aggregator)

    def _send_to_all(self, *audiences: Audience) -> None:
        for audience in audiences:
            own_zone = self._peers.own.zone
            near = audience is Audience.NEAR
            recipients = [
                peer
                for peer in self._peers.recipients()
                if (peer.zone == own_zone) is near
            ]
            if recipients:
                update = self._composer.direct(audience)
                self._send(update, recipients)

    def _send_to_aggregators(self, member: ZoneMember) -> None:
        update = self._composer.direct(Audience.NEAR)
        self._send(update, (member.primary,))
        self._send(_without_notices(update), member.others)

    def _send_reports(self, aggregator: ZoneAggregator) -> None:
        own_zone = self._peers.own.zone
        near = [
            peer for peer in self._peers.recipients() if peer.zone == own_zone
        ]
        self._send(self._composer.zone_report(), near)
        update = self._composer.remote_report()
        self._send(update, aggregator.remote_primaries)
        self._send(_without_notices(update), aggregator.remote_others)

    def _send(
        self, update: PeerUpdate, recipients: Sequence[PeerIdentity]
    ) -> None:
        if self._transport is None or not recipients:
            return
        self._transport.send_all(
            lambda waited_s: encode_peer_update(update.aged(waited_s)),
            [_split_address(peer.address) for peer in recipients],
        )

    def _interval_s(self, topology: Topology) -> float:
        intervals = self._peers.intervals
        match topology:
            case ZoneMember():
                return intervals.member_s()
            case ZoneAggregator():
                return intervals.report_s()
            case FullMesh():
                if self._sources.is_reader():
                    return intervals.reader_s()
                return intervals.direct_s(Audience.NEAR)

    def _forward_notices(self, update: PeerUpdate) -> None:
        """Queue what a peer sends once for the hosts that rely on this one."""
        audiences = self._dependents(update)
        sources = self._sources
        sources.outbox.forward_dispatches(update.dispatches, audiences)
        sources.origins.forward(update.origins, audiences)
        sources.observations.forward(update.rate_observations, audiences)

    def _dependents(self, update: PeerUpdate) -> tuple[Audience, ...]:
        """Return which hosts get the contents of an update only from here."""
        if not isinstance(self._topology, ZoneAggregator):
            return ()
        if update.sender.zone != self._peers.own.zone:
            return (Audience.NEAR,)
        return tuple(Audience) if update.report is None else ()


def _without_notices(update: PeerUpdate) -> PeerUpdate:
    """Return an update for hosts that don't pass on what is sent once."""
    return dataclasses.replace(
        update, dispatches=(), origins=(), rate_observations=()
    )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
