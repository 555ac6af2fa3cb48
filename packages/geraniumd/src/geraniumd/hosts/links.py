"""Client side of a peer connection: sends requests to another daemon."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..process import FrameError, PeerError, PeerSettings, Telemetry
from .channel import Channel
from .directory import Presence
from .handshake import Identity, dial
from .messages import (
    Acknowledgement,
    ClaimResponse,
    ConfigurationUpdate,
    Envelope,
    Request,
    Response,
    Status,
    UsageReplica,
)
from .wire import decode, encode


class PeerLink:
    """Connection to one other daemon.

    Requests of concurrent tasks share the connection. The envelope number
    matches each response to its request.
    """

    def __init__(
        self,
        presence: Presence,
        identity: Identity,
        settings: PeerSettings,
        telemetry: Telemetry,
    ) -> None:
        self.presence = presence
        self.host = presence.host
        self.status: Status | None = None
        self.responded_at: float | None = None
        self.last_error = ''
        self._identity = identity
        self._settings = settings
        self._telemetry = telemetry
        self._channel: Channel | None = None
        self._numbers = itertools.count(1)
        self._responses_by_number: dict[int, asyncio.Future[Response]] = {}

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is open."""
        return self._channel is not None

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[None]:
        """Keep the connection open for the body of the ``async with``.

        Raises:
            PeerError: If the connection can't be established.
        """
        channel = await self._dial()
        self._channel = channel
        receiving = asyncio.create_task(self._receive(channel))
        try:
            yield
        finally:
            receiving.cancel()
            self._disconnect(channel)

    async def request(self, request: Request) -> Response:
        """Send a request and return its response.

        Raises:
            PeerError: If there is no connection, it is lost, or no response
                arrives within ``silence_timeout_s``.
        """
        channel = self._channel
        if channel is None:
            raise PeerError(f'no connection to {self.host}')
        number = next(self._numbers)
        response: asyncio.Future[Response] = asyncio.Future()
        self._responses_by_number[number] = response
        try:
            async with asyncio.timeout(self._settings.silence_timeout_s):
                await channel.send(encode(Envelope(number, request)))
                return await response
        except TimeoutError:
            raise PeerError(f'{self.host} did not respond in time') from None
        finally:
            self._responses_by_number.pop(number, None)

    async def _dial(self) -> Channel:
        address, _, port = self.presence.peer_address.rpartition(':')
        try:
            async with asyncio.timeout(self._settings.handshake_timeout_s):
                reader, writer = await asyncio.open_connection(address, port)
                channel = Channel(
                    reader,
                    writer,
                    self._settings.max_frame_bytes,
                    self._telemetry,
                )
                await self._authenticate(channel)
        except (OSError, OverflowError, ValueError) as error:
            # TimeoutError is an OSError too; the others are for a port that
            # is out of range or no number.
            raise PeerError(repr(error)) from error
        return channel

    async def _authenticate(self, channel: Channel) -> None:
        try:
            hello = await dial(channel, self._identity)
        except BaseException:
            channel.close()
            raise
        if hello.incarnation != self.presence.incarnation:
            channel.close()
            raise PeerError(f'{self.host} was restarted')

    async def _receive(self, channel: Channel) -> None:
        try:
            while True:
                envelope = decode(await channel.receive())
                self._deliver(envelope)
        except PeerError as error:
            self.last_error = str(error)
            self._disconnect(channel)

    def _deliver(self, envelope: Envelope) -> None:
        match envelope.message:
            case (
                Status()
                | ConfigurationUpdate()
                | Acknowledgement()
                | UsageReplica()
                | ClaimResponse()
            ) as response:
                waiting = self._responses_by_number.get(envelope.number)
                if waiting is not None and not waiting.done():
                    waiting.set_result(response)
            case _:
                raise FrameError('received a request instead of a response')

    def _disconnect(self, channel: Channel) -> None:
        self._channel = None
        channel.close()
        for waiting in self._responses_by_number.values():
            if not waiting.done():
                waiting.set_exception(
                    PeerError(f'connection to {self.host} was lost'),
                )
