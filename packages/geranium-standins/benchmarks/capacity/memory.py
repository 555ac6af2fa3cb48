"""Memory per object in a daemon, measured with tracemalloc."""

import gc
import tracemalloc
import uuid
from collections.abc import Callable, Iterator
from functools import partial

from geranium_coordination import (
    FreshnessReport,
    LoadedConfiguration,
    decode_delta,
    encode_delta,
)
from geranium_model import EngineLoad, Role, Usage
from geranium_policy import EngineChoice
from geranium_policy.costs import CostEstimate
from geraniumd.hosts import Identity, PeerLink, Presence, Status
from geraniumd.state import Context, UsageMeter

from .exchange import build_ping
from .figures import Figure
from .world import (
    HOST,
    Size,
    build_document,
    build_idle_context,
    load_document,
    service_name,
    team_name,
    zone_name,
)

_GROUP = 'memory'
_BYTES = 'B'
_SMALL_COUNT = 200
_RECORDS = 500
_PREFIXES = 2048
_LINKS = 100
_CANDIDATE_COUNT = 9
_USED = Usage(9, 9, 1)
_COST = 0.123456789
_LOAD = (3, 4, 500, 2000, 6000, 1)
_PEER_UPDATE_SIZE = (64, 17, 16)
_PREFIX_HASHES = range(1 << 60, (1 << 60) + _PREFIXES)


async def measure_memory() -> list[Figure]:
    """Return the additional bytes per object."""
    return [
        *await _configuration_figures(),
        *await _engine_figures(),
        *_link_figures(),
        _record_figure(),
        _usage_figure(),
    ]


async def _configuration_figures() -> list[Figure]:
    small = Size(engines=_SMALL_COUNT, teams=_SMALL_COUNT)
    size = Size()
    base = await _configuration_bytes(small)
    more_teams = await _configuration_bytes(Size(engines=_SMALL_COUNT))
    more_engines = await _configuration_bytes(Size(teams=_SMALL_COUNT))
    more_routes = await _configuration_bytes(
        Size(
            engines=_SMALL_COUNT, teams=_SMALL_COUNT, extra_routes=_SMALL_COUNT
        ),
    )
    return [
        _per_item(
            'team with its key, in the configuration',
            more_teams - base,
            size.teams - _SMALL_COUNT,
        ),
        _per_item(
            'engine, in the configuration',
            more_engines - base,
            size.engines - _SMALL_COUNT,
        ),
        _per_item(
            'route, in the configuration', more_routes - base, _SMALL_COUNT
        ),
        _per_item(
            'configuration at full size', await _configuration_bytes(size), 1
        ),
    ]


async def _configuration_bytes(size: Size) -> int:
    loaded = await load_document(build_document(size))
    encoded = encode_delta(loaded.delta_since(0))
    return _allocated_bytes(
        lambda: LoadedConfiguration().apply_delta(decode_delta(encoded)),
    )


async def _engine_figures() -> Iterator[Figure]:
    size = Size(teams=1)
    configuration = (await load_document(build_document(size))).configuration
    context = build_idle_context()
    fleet = context.fleet
    grown = _allocated_bytes(lambda: fleet.apply_configuration(configuration))
    reports = _allocated_bytes(lambda: _apply_loads(context))
    view = fleet.engine_entries()[0].view
    prefixes = _allocated_bytes(
        lambda: view.prefixes.remember(_PREFIX_HASHES, 0),
    )
    return iter(
        (
            _per_item('engine link and view', grown, size.engines),
            _per_item('engine load report', reports, size.engines),
            _per_item('remembered prefix of an engine', prefixes, _PREFIXES),
        ),
    )


def _apply_loads(context: Context) -> None:
    for entry in context.fleet.engine_entries():
        entry.view.apply_load(
            EngineLoad(entry.name, Role.MIXED, True, *_LOAD),
        )


def _link_figures() -> Iterator[Figure]:
    context = build_idle_context()
    links: dict[str, PeerLink] = {}
    grown = _allocated_bytes(lambda: _open_links(context, links))
    yield _per_item('peer link with its last status', grown, _LINKS)
    ping = build_ping(*_PEER_UPDATE_SIZE)
    context.gossip.apply('warm-up', ping)
    peer_updates = _allocated_bytes(lambda: _apply_peer_updates(context))
    yield _per_item(
        'news of a peer (64 engines, 17 services)', peer_updates, _LINKS
    )


def _open_links(context: Context, links: dict[str, PeerLink]) -> None:
    identity = Identity(HOST, zone_name(0), 'incarnation', b'secret')
    for number in range(_LINKS):
        presence = _presence(number)
        link = PeerLink(
            presence,
            identity,
            context.settings.peers,
            context.telemetry,
        )
        report = FreshnessReport(presence.host, number, 1, 1, True, ())
        link.status = Status(report, is_leaving=False)
        links[presence.host] = link


def _presence(number: int) -> Presence:
    return Presence(
        host=f'host-{number}',
        zone=zone_name(number),
        region='region-0',
        incarnation=uuid.UUID(int=number).hex,
        caller_address=f'10.1.0.1:{number}',
        peer_address=f'10.1.0.2:{number}',
        operator_address=f'10.1.0.3:{number}',
    )


def _apply_peer_updates(context: Context) -> None:
    for number in range(_LINKS):
        context.gossip.apply(
            f'host-{number}',
            build_ping(*_PEER_UPDATE_SIZE),
        )


def _record_figure() -> Figure:
    context = build_idle_context()
    return _per_item(
        'recent request with its weighed engines',
        _allocated_bytes(lambda: record_requests(context, _RECORDS)),
        _RECORDS,
    )


def record_requests(context: Context, count: int) -> None:
    """Record a number of recent requests in a daemon's state."""
    document = build_document(Size(teams=1, engines=1))
    engine = document.targets[0]
    for number in range(count):
        incarnation = uuid.UUID(int=number).hex
        record = context.requests.begin(
            f'request-{number}',
            f'{incarnation}-{number}',
            team_name(0),
            service_name(0),
        )
        reason = f'prompt read by itself, {number} tokens cached'
        considered = tuple(map(_estimate, range(_CANDIDATE_COUNT)))
        record.record_choice(
            EngineChoice(engine, None, None, considered, reason),
        )
        record.mark_first_token()
        context.requests.end(record, 'completed')


def _estimate(number: int) -> CostEstimate:
    return CostEstimate(f'engine-{number}', number, *(_COST,) * 6)


def _usage_figure() -> Figure:
    meter = build_idle_context().meter
    meter.add('warm-up', service_name(0), _USED)
    teams = Size().teams
    return _per_item(
        'metered team', _allocated_bytes(partial(_meter, meter, teams)), teams
    )


def _meter(meter: UsageMeter, teams: int) -> None:
    for number in range(teams):
        meter.add(team_name(number), service_name(0), _USED)


def _allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that remain allocated for the built object."""
    gc.collect()
    tracemalloc.start()
    kept = [build()]
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    kept.clear()
    return allocated_bytes


def _per_item(name: str, allocated_bytes: int, count: int) -> Figure:
    return Figure(_GROUP, name, allocated_bytes / count, _BYTES)
