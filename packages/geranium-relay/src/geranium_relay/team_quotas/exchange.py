"""Carries messages between hosts and their quota brokers over UDP."""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

from geranium_policy.team_quotas import HostName, QuotaMessage

from ..decision_log import DecisionLog
from ..peer_updates import name_hash
from ..peers import Peers
from .codec import (
    MalformedQuotaMessageError,
    QuotaDatagram,
    decode_datagram,
    encode_datagram,
)

Receive: TypeAlias = Callable[[HostName, QuotaMessage], QuotaMessage | None]


class QuotaExchange(asyncio.DatagramProtocol):
    """Sends messages to hosts by their names, and answers theirs.

    All hosts use a port at the same distance from that of peer updates.

    Args:
        peers: The other hosts.
        port_offset: That distance; 0 if the host has no port for it.
        receive: Called with each message; returns the reply, if any.
        log: Receives a record of each datagram that can't be read.
    """

    def __init__(
        self,
        peers: Peers,
        port_offset: int,
        receive: Receive,
        log: DecisionLog,
    ) -> None:
        self._peers = peers
        self._port_offset = port_offset
        self._receive = receive
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None

    async def open(self) -> None:
        """Listen, if the host has a port and doesn't listen yet."""
        if not self._port_offset or self.is_open:
            return
        try:
            self._transport = await self._listen()
        except OSError as error:
            # Without messages, the host spends its own share.
            self._log.record('quota_port_not_opened', error=repr(error))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, host: str, message: QuotaMessage) -> None:
        """Send a message to a host, unless it is unknown."""
        peer = self._peers.find(name_hash(host))
        if peer is not None:
            self._send_to(self._quota_address(peer.address), message)

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, int]
    ) -> None:
        """Apply a message of a known host and send the reply."""
        try:
            datagram = decode_datagram(data)
        except MalformedQuotaMessageError as error:
            reason = str(error).partition('\n')[0]
            self._log.record(
                'quota_message_unreadable', address=addr[0], error=reason
            )
            return
        peer = self._peers.find(datagram.sender)
        if peer is None or peer.incarnation > datagram.incarnation:
            return
        sender = HostName(peer.host, datagram.incarnation)
        reply = self._receive(sender, datagram.message)
        if reply is not None:
            self._send_to(addr, reply)

    async def _listen(self) -> asyncio.DatagramTransport:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=self._quota_address(self._peers.own.address),
        )
        return transport

    def _send_to(
        self, address: tuple[str | int, int], message: QuotaMessage
    ) -> None:
        own = self._peers.own
        datagram = QuotaDatagram(name_hash(own.host), own.incarnation, message)
        if self._transport is not None:
            self._transport.sendto(encode_datagram(datagram), address)

    def _quota_address(self, address: str) -> tuple[str, int]:
        host, _, port = address.rpartition(':')
        return host, int(port) + self._port_offset
