"""Answers other daemons' questions, one task a connection."""

import asyncio
from collections.abc import Callable

from geranium_coordination import (
    ConfigurationReplica,
    encode_delta,
)

from .channel import Channel
from .exceptions import FrameError, PeerError
from .handshake import Identity, accept
from .logs import get_logger
from .messages import (
    Acknowledgement,
    Announcement,
    Answer,
    ConfigurationUpdate,
    ConfigurationWanted,
    Envelope,
    Hello,
    Message,
    Ping,
    Status,
    UsageReplica,
)
from .settings import PeerSettings
from .telemetry import Telemetry
from .wire import decode, encode

NewsSink = Callable[[str, Ping], None]


class PeerServer:
    """Listens for other daemons."""

    def __init__(
        self,
        identity: Identity,
        settings: PeerSettings,
        replica: ConfigurationReplica,
        news: NewsSink,
        telemetry: Telemetry,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._replica = replica
        self._news = news
        self._telemetry = telemetry
        self._log = get_logger()
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()
        self.is_leaving = False

    async def start(self, address: str, port: int) -> int:
        """Listen; return the port that was bound."""
        self._server = await asyncio.start_server(self._serve, address, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self._channels):
            channel.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        channel = Channel(
            reader,
            writer,
            self._settings.max_frame_bytes,
            self._telemetry,
        )
        self._channels.add(channel)
        try:
            await self._converse(channel)
        except PeerError as error:
            self._log.debug('peer_connection_ended', error=str(error))
        finally:
            self._channels.discard(channel)
            channel.close()

    async def _converse(self, channel: Channel) -> None:
        try:
            async with asyncio.timeout(self._settings.handshake_timeout_s):
                hello = await accept(channel, self._identity)
        except TimeoutError:
            raise PeerError('no handshake in time') from None
        while True:
            envelope = decode(await channel.receive())
            answer = self._answer(hello, envelope.message)
            await channel.send(encode(Envelope(envelope.number, answer)))

    def _answer(self, hello: Hello, question: Message) -> Answer:
        match question:
            case Ping():
                self._news(hello.host, question)
                return Status(self._replica.report(), self.is_leaving)
            case ConfigurationWanted(since_version=version):
                delta = self._replica.loaded.delta_since(version)
                return ConfigurationUpdate(encode_delta(delta))
            case Announcement(pending=pending):
                return Acknowledgement(self._replica.announce(pending))
            case UsageReplica():
                return Acknowledgement(counts=False)
            case _:
                raise FrameError('an answer where a question was due')
