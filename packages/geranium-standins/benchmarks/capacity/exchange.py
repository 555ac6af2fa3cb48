"""Processor time and bytes of messages between daemons."""

import asyncio
import time
from collections.abc import Iterator

from geranium_coordination import UsageBatch
from geranium_model import Usage
from geranium_policy import (
    ConsumptionReport,
    InFlight,
    RoleDemand,
    TeamConsumption,
)
from geraniumd.hosts import (
    Channel,
    EngineDispatch,
    Envelope,
    Ping,
    ServiceConsumption,
    ServiceDemand,
    Status,
    UsageReplica,
    decode,
    encode,
)
from geraniumd.state import Context

from .figures import US_PER_S, Figure
from .world import (
    HOST,
    Size,
    build_document,
    build_idle_context,
    engine_name,
    load_document,
    service_name,
    team_name,
)

_GROUP = 'exchange'
_LARGE_VALUE = 4000
_BATCH_TEAMS = (1, 276)
_KEY = b'0123456789abcdef'
_IN_FLIGHT = InFlight(_LARGE_VALUE, _LARGE_VALUE, _LARGE_VALUE)
_DEMAND = RoleDemand(_LARGE_VALUE, _LARGE_VALUE)
_CONSUMED = TeamConsumption(_LARGE_VALUE, _LARGE_VALUE, _LARGE_VALUE)
_MAX_FRAME_BYTES = 8_388_608
_ROUNDS = 300
_PINGS = (
    (0, 0, 0),
    (64, 0, 0),
    (286, 0, 0),
    (2000, 0, 0),
    (0, 1, 16),
    (0, 17, 1),
    (0, 17, 16),
    (64, 17, 16),
)


def build_ping(engines: int, services: int, teams: int) -> Ping:
    """Return a ping with updates for engines, and for teams per service."""
    return Ping(
        dispatches=tuple(
            EngineDispatch(engine_name(number), _IN_FLIGHT)
            for number in range(engines)
        ),
        consumption=tuple(
            ServiceConsumption(service_name(number), _report(teams))
            for number in range(services)
        ),
        demand=tuple(
            ServiceDemand(service_name(number), _DEMAND)
            for number in range(services)
        ),
    )


async def measure_exchange() -> list[Figure]:
    """Return the cost of a ping and its status, by size of the updates."""
    context = build_idle_context()
    loaded = await load_document(build_document(Size(teams=1)))
    context.fleet.apply_configuration(loaded.configuration)
    figures = []
    for engines, services, teams in _PINGS:
        ping = build_ping(engines, services, teams)
        name = f'{engines} engines, {services} services x {teams} teams'
        figures.extend(await _exchange_figures(context, name, ping))
    return [*figures, *_usage_figures()]


def _usage_figures() -> Iterator[Figure]:
    for teams in _BATCH_TEAMS:
        usage_by_team = {
            team_name(number): Usage(_LARGE_VALUE, _LARGE_VALUE, 1)
            for number in range(teams)
        }
        batch = UsageBatch(HOST, 1, 1, usage_by_team)
        replica = encode(Envelope(1, UsageReplica((batch,))))
        name = f'bytes, usage batch of {teams} teams'
        yield Figure(_GROUP, name, len(replica), 'B')


async def _exchange_figures(
    context: Context,
    name: str,
    ping: Ping,
) -> list[Figure]:
    pair = _ChannelPair(context)
    await _exchange(context, pair, ping)
    sent_bytes = pair.sent_bytes
    started_at = time.process_time()
    for _ in range(_ROUNDS):
        await _exchange(context, pair, ping)
    spent_s = time.process_time() - started_at
    return [
        Figure(_GROUP, f'bytes, {name}', sent_bytes, 'B'),
        Figure(
            _GROUP,
            f'processor time of both ends, {name}',
            spent_s / _ROUNDS * US_PER_S,
            'us',
        ),
    ]


async def _exchange(context: Context, pair: '_ChannelPair', ping: Ping) -> None:
    # The result is empty here, but collecting it costs time.
    context.gossip.outgoing()
    await pair.dialler.send(encode(Envelope(1, ping)))
    envelope = decode(await pair.acceptor.receive())
    context.gossip.apply(HOST, envelope.message)
    status = Status(context.replica.report(), is_leaving=False)
    await pair.acceptor.send(encode(Envelope(1, status)))
    decode(await pair.dialler.receive())


class _ChannelPair:
    """Both ends of an authenticated channel, without a socket."""

    def __init__(self, context: Context) -> None:
        dialler_reader = asyncio.StreamReader()
        acceptor_reader = asyncio.StreamReader()
        self._writers = (_Pipe(acceptor_reader), _Pipe(dialler_reader))
        self.dialler = Channel(
            dialler_reader,
            self._writers[0],
            _MAX_FRAME_BYTES,
            context.telemetry,
        )
        self.acceptor = Channel(
            acceptor_reader,
            self._writers[1],
            _MAX_FRAME_BYTES,
            context.telemetry,
        )
        self.dialler.secure(_KEY, _KEY)
        self.acceptor.secure(_KEY, _KEY)

    @property
    def sent_bytes(self) -> int:
        """Bytes sent in both directions."""
        return sum(writer.count for writer in self._writers)


class _Pipe:
    """Stream writer that feeds the other end's reader directly."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self.count = 0

    def write(self, frame: bytes) -> None:
        """Feed a frame to the reader."""
        self.count += len(frame)
        self._reader.feed_data(frame)

    async def drain(self) -> None:
        """Return immediately."""


def _report(teams: int) -> ConsumptionReport:
    return ConsumptionReport(
        daemon=HOST,
        large_by_team={team_name(number): _CONSUMED for number in range(teams)},
        tail=TeamConsumption(),
        tail_teams=0,
    )
