"""Passes requests on to other hosts."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import AsyncIterator, Callable, Collection

from geranium_policy.crash_evidence import TargetReach
from geranium_policy.peer_choice import (
    PeerChoiceSettings,
    PeerChooser,
    PeerState,
)

from ..call_errors import (
    AnswerLostError,
    NotSentError,
    RelayError,
    TargetSilentError,
)
from ..decision_log import DecisionLog
from ..load_tracker import LoadTracker
from ..messages import PeerIdentity, ResponseHead
from ..outcomes import CutOff, Delivered, Failed, Refused
from ..peers import Peers
from ..silence import SilenceLimit, silence_limit
from ..targets import Target
from .call_codec import encode_question, encode_request
from .connections import ConnectionEndedError, MessageConnection
from .encoding import MalformedMessageError, UnknownMessageError
from .frame_codec import decode_frame
from .messages import (
    AliveFrame,
    DataFrame,
    EndFrame,
    ForwardedRequest,
    Frame,
    HeadFrame,
    ReachFrame,
    ReachQuestion,
)
from .reaching_hosts import hosts_reaching


@dataclasses.dataclass(frozen=True, slots=True)
class PeerClientSettings:
    """Limits of calls to other hosts.

    Args:
        connect_timeout_s: Timeout of a connection to a host, which takes one
            round trip if the host is alive.
        silence_s: A host that works on a request sends a frame at least every
            ``ALIVE_INTERVAL_S``; after this time without one it is given up
            if the request may go on elsewhere.
        max_asked: Hosts that are asked about a target.
        choice: How a host is chosen.
    """

    connect_timeout_s: float = 0.3
    silence_s: float = 1.5
    max_asked: int = 3
    choice: PeerChoiceSettings = dataclasses.field(
        default_factory=PeerChoiceSettings
    )


class PeerRefusedError(Exception):
    """A host has not run a request; ``refusal`` says why."""

    def __init__(self, refusal: Refused) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class PeerFailedError(AnswerLostError):
    """A host could not finish a request that may have run.

    ``calls`` is what it has sent for it.
    """

    def __init__(self, outcome: Failed | CutOff) -> None:
        super().__init__(f'peer: {outcome.reason}')
        self.calls = outcome.calls


class PeerResponse:
    """A response that another host forwards; implements ``TargetResponse``.

    ``version`` is the software version at which a stream began.
    """

    framed = True

    def __init__(
        self,
        head_frame: HeadFrame,
        frames: '_Frames',
        on_close: Callable[[], None],
    ) -> None:
        self.head: ResponseHead = head_frame.head
        self.version = head_frame.version
        self._frames = frames
        self._on_close = on_close

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        while True:
            match await self._frames.next():
                case DataFrame(data=data):
                    yield data
                case EndFrame(outcome=Delivered()):
                    return
                case frame:
                    raise _lost_response(frame)

    async def read(self, max_bytes: int) -> bytes:
        """Return the complete body."""
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise AnswerLostError('body without end')
        return bytes(body)

    def close(self) -> None:
        """Close the connection, which stops the request at the other host."""
        self._frames.close()
        self._on_close()


class PeerClient:
    """Chooses hosts for requests and sends the requests to them.

    Args:
        settings: Limits.
        peers: The other hosts.
        loads: What they have in flight.
        clock: Returns the current time in seconds.
        source: Random numbers for the choice.
        log: Receives a record of each host that does not answer a question.
    """

    def __init__(
        self,
        settings: PeerClientSettings,
        peers: Peers,
        loads: LoadTracker,
        clock: Callable[[], float],
        source: random.Random,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._log = log
        self._peers = peers
        self._loads = loads
        self._clock = clock
        self._chooser = PeerChooser(settings.choice, source)
        self._sent_by_host: collections.Counter[str] = collections.Counter()

    @property
    def own_name(self) -> str:
        """The name of this host."""
        return self._peers.own.host

    @property
    def has_peers(self) -> bool:
        """Whether there are other hosts that serve callers."""
        return bool(self._peers.usable())

    def hosts_reaching(self, service: str) -> frozenset[str]:
        """Return the names of the other hosts that reach a service."""
        return frozenset(
            peer.host for peer in hosts_reaching(service, self._peers)
        )

    def choose(
        self,
        service: str,
        tried: Collection[str],
        among: Collection[str] = (),
    ) -> PeerIdentity | None:
        """Return a host that reaches a service, other than those tried.

        Args:
            service: The service.
            tried: Names of hosts that are left out.
            among: Names of the hosts to choose from; all if there are none.
        """
        peers_by_host = {
            peer.host: peer
            for peer in hosts_reaching(service, self._peers)
            if peer.host not in tried and (not among or peer.host in among)
        }
        running_by_host = self._loads.running_by_host(self._clock())
        name = self._chooser.choose(
            [
                PeerState(
                    host,
                    peer.zone == self._peers.own.zone,
                    running_by_host.get(host, 0) + self._sent_by_host[host],
                )
                for host, peer in peers_by_host.items()
            ]
        )
        return None if name is None else peers_by_host[name]

    async def send(
        self,
        peer: PeerIdentity,
        request: ForwardedRequest,
        may_give_up: Callable[[], bool],
    ) -> PeerResponse:
        """Send a request and return its response once the head has arrived.

        Args:
            peer: The host.
            request: The request.
            may_give_up: Returns whether a silent host is given up.

        Raises:
            NotSentError: If no byte of the request was sent.
            PeerRefusedError: If the request was not run.
            AnswerLostError: If it may have run.
            TargetSilentError: If it may have run and the host is silent.
        """
        frames = await self._open(peer, may_give_up)
        self._sent_by_host[peer.host] += 1
        try:
            return await self._send(peer, frames, request)
        except BaseException:
            self._sent_by_host[peer.host] -= 1
            frames.close()
            raise

    async def ask(self, target: Target) -> tuple[TargetReach, ...]:
        """Return what a few other hosts can say of a target."""
        asked: list[PeerIdentity] = []
        while len(asked) < self._settings.max_asked:
            tried = [peer.host for peer in asked]
            peer = self.choose(target.service, tried)
            if peer is None:
                break
            asked.append(peer)
        return tuple(
            await asyncio.gather(*(self._ask(peer, target) for peer in asked))
        )

    async def _ask(self, peer: PeerIdentity, target: Target) -> TargetReach:
        frames: _Frames | None = None
        try:
            frames = await self._open(peer, lambda: True)
            await frames.send(encode_question(ReachQuestion(target.key)))
            frame = await frames.next()
        except RelayError as error:
            self._log.record(
                'peer_not_asked',
                peer=peer.host,
                target=target.key,
                error=repr(error),
            )
            return TargetReach.UNKNOWN
        finally:
            if frames is not None:
                frames.close()
        match frame:
            case ReachFrame(reach=reach):
                return reach
            case _:
                return TargetReach.UNKNOWN

    async def _send(
        self, peer: PeerIdentity, frames: '_Frames', request: ForwardedRequest
    ) -> PeerResponse:
        await frames.send(encode_request(request, self._clock()))
        match await frames.next():
            case HeadFrame() as head_frame:
                return PeerResponse(
                    head_frame, frames, lambda: self._forget(peer.host)
                )
            case EndFrame(outcome=Refused() as refusal):
                raise PeerRefusedError(refusal)
            case frame:
                raise _lost_response(frame)

    async def _open(
        self, peer: PeerIdentity, may_give_up: Callable[[], bool]
    ) -> '_Frames':
        connection = await self._connect(peer)
        limit = silence_limit(may_give_up)
        return _Frames(connection, self._settings.silence_s, limit, self._log)

    async def _connect(self, peer: PeerIdentity) -> MessageConnection:
        host, _, port = peer.address.rpartition(':')
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                streams = await asyncio.open_connection(host, int(port))
        except (TimeoutError, OSError) as error:
            raise NotSentError(repr(error)) from error
        return MessageConnection(*streams)

    def _forget(self, host: str) -> None:
        self._sent_by_host[host] -= 1


class _Frames:
    """The frames of one response, as long as the host is alive.

    Frames of unknown kinds are left out.
    """

    def __init__(
        self,
        connection: MessageConnection,
        silence_s: float,
        limit: SilenceLimit,
        log: DecisionLog,
    ) -> None:
        self._connection = connection
        self._silence_s = silence_s
        self._limit = limit
        self._log = log

    async def send(self, message: bytes) -> None:
        self._connection.write(message)
        try:
            async with asyncio.timeout(self._silence_s):
                await self._connection.drain()
        except TimeoutError:
            raise TargetSilentError('peer is silent') from None
        except ConnectionEndedError as error:
            raise AnswerLostError(
                f'peer: {error}', connection=error.connection
            ) from error

    async def next(self) -> Frame:
        """Return the next frame that says more than that the host is alive."""
        while True:
            frame = self._decode(await self._read())
            if not isinstance(frame, AliveFrame):
                return frame

    def close(self) -> None:
        self._connection.abort()

    async def _read(self) -> bytes:
        deadline = asyncio.get_running_loop().time() + self._silence_s
        try:
            async with self._limit.until(deadline):
                return await self._connection.read()
        except ConnectionEndedError as error:
            raise AnswerLostError(
                f'peer: {error}', connection=error.connection
            ) from error

    def _decode(self, message: bytes) -> Frame:
        try:
            return decode_frame(message)
        except UnknownMessageError:
            self._log.record('peer_frame_unknown')
            return AliveFrame()
        except MalformedMessageError as error:
            raise AnswerLostError(f'peer: {error}') from error


def _lost_response(frame: Frame) -> AnswerLostError:
    """Return the error for a frame that ends a response too early."""
    match frame:
        case EndFrame(outcome=(Failed() | CutOff()) as outcome):
            return PeerFailedError(outcome)
        case _:
            return AnswerLostError(f'peer: {frame}')
