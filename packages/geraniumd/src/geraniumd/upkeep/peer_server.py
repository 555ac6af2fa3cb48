"""Server side of peer connections, with one task per connection."""

import asyncio

from geranium_coordination import (
    CorruptClaimsError,
    decode_claim_message,
    encode_claim_message,
    encode_delta,
)

from .. import hosts
from ..process import FrameError, PeerError, get_logger
from ..state import Context


class PeerServer:
    """Accepts connections of other daemons and responds to requests."""

    def __init__(self, context: Context, identity: hosts.Identity) -> None:
        self._identity = identity
        self._settings = context.settings.peers
        self._replica = context.replica
        self._gossip = context.gossip
        self._ledger = context.meter.ledger
        self._claims = context.claims
        self._lifecycle = context.lifecycle
        self._telemetry = context.telemetry
        self._log = get_logger()
        self._server: asyncio.Server | None = None
        self._channels: set[hosts.Channel] = set()
        self._commits: set[asyncio.Task[None]] = set()

    async def start(self, address: str, port: int) -> int:
        """Start listening and return the bound port."""
        self._server = await asyncio.start_server(self._serve, address, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self._channels):
            channel.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        channel = hosts.Channel(
            reader,
            writer,
            self._settings.max_frame_bytes,
            self._telemetry,
        )
        self._channels.add(channel)
        try:
            await self._handle_requests(channel)
        except PeerError as error:
            self._log.debug('peer_connection_ended', error=str(error))
        finally:
            self._channels.discard(channel)
            channel.close()

    async def _handle_requests(self, channel: hosts.Channel) -> None:
        try:
            async with asyncio.timeout(self._settings.handshake_timeout_s):
                hello = await hosts.accept(channel, self._identity)
        except TimeoutError:
            raise PeerError('handshake timed out') from None
        while True:
            envelope = hosts.decode(await channel.receive())
            request = envelope.message
            if isinstance(request, hosts.ClaimRequest):
                # A commit waits for the platform and must not delay pings.
                self._start_commit(channel, envelope.number, request)
                continue
            response = self._handle_request(hello.host, request)
            await channel.send(
                hosts.encode(hosts.Envelope(envelope.number, response))
            )

    def _handle_request(
        self, host: str, request: hosts.Message
    ) -> hosts.Response:
        match request:
            case hosts.Ping():
                self._gossip.apply(host, request)
                return hosts.Status(
                    self._replica.report(), self._lifecycle.is_leaving
                )
            case hosts.ConfigurationRequest(since_version=version):
                delta = self._replica.loaded.delta_since(version)
                return hosts.ConfigurationUpdate(encode_delta(delta))
            case hosts.Announcement(pending=pending):
                return hosts.Acknowledgement(
                    self._replica.suspend_keys(pending)
                )
            case hosts.UsageReplica(batches=batches):
                self._ledger.merge(batches)
                return hosts.Acknowledgement(counts=True)
            case hosts.UsageRequest(through_window=window):
                return hosts.UsageReplica(self._ledger.batches(window))
            case _:
                raise FrameError('received a response instead of a request')

    def _start_commit(
        self,
        channel: hosts.Channel,
        number: int,
        request: hosts.ClaimRequest,
    ) -> None:
        commit = asyncio.create_task(self._commit(channel, number, request))
        self._commits.add(commit)
        commit.add_done_callback(self._commits.discard)

    async def _commit(
        self,
        channel: hosts.Channel,
        number: int,
        request: hosts.ClaimRequest,
    ) -> None:
        try:
            operation = decode_claim_message(request.encoded_operation)
        except CorruptClaimsError as error:
            self._log.warning('claim_not_read', error=str(error))
            return
        outcome = await self._claims.execute(operation)
        encoded = encode_claim_message(outcome) if outcome else b''
        response = hosts.Envelope(number, hosts.ClaimResponse(encoded))
        try:
            await channel.send(hosts.encode(response))
        except PeerError as error:
            self._log.debug('claim_not_answered', error=str(error))
