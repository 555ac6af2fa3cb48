"""Bytes that each thing takes in a daemon's memory, by tracemalloc."""

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
    load_document,
    open_context,
    service_name,
    team_name,
    zone_name,
)

_GROUP = 'memory'
_BYTES = 'B'
_FEW = 200
_RECORDS = 500
_PREFIXES = 2048
_LINKS = 100
_CONSIDERED = 9
_USED = Usage(9, 9, 1)
_COST = 0.123456789
_LOAD = (3, 4, 500, 2000, 6000, 1)
_NEWS = (64, 17, 16)
_PREFIX_HASHES = range(1 << 60, (1 << 60) + _PREFIXES)


async def measure_memory() -> list[Figure]:
    """Return the bytes for one more of each thing."""
    return [
        *await _configuration_figures(),
        *await _engine_figures(),
        *_link_figures(),
        _record_figure(),
        _usage_figure(),
    ]


async def _configuration_figures() -> list[Figure]:
    small = Size(engines=_FEW, teams=_FEW)
    size = Size()
    base = await _held_bytes(small)
    more_teams = await _held_bytes(Size(engines=_FEW))
    more_engines = await _held_bytes(Size(teams=_FEW))
    more_routes = await _held_bytes(
        Size(engines=_FEW, teams=_FEW, extra_routes=_FEW),
    )
    return [
        _per(
            'team with its key, in the configuration',
            more_teams - base,
            size.teams - _FEW,
        ),
        _per(
            'engine, in the configuration',
            more_engines - base,
            size.engines - _FEW,
        ),
        _per('route, in the configuration', more_routes - base, _FEW),
        _per('configuration at full size', await _held_bytes(size), 1),
    ]


async def _held_bytes(size: Size) -> int:
    loaded = await load_document(build_document(size))
    encoded = encode_delta(loaded.delta_since(0))
    return _grown_by(
        lambda: LoadedConfiguration().apply_delta(decode_delta(encoded)),
    )


async def _engine_figures() -> Iterator[Figure]:
    size = Size(teams=1)
    configuration = (await load_document(build_document(size))).configuration
    context = open_context()
    fleet = context.fleet
    grown = _grown_by(lambda: fleet.apply_configuration(configuration))
    reports = _grown_by(lambda: _report_loads(context))
    view = fleet.engine_entries()[0].view
    prefixes = _grown_by(
        lambda: view.prefixes.remember(_PREFIX_HASHES, 0),
    )
    return iter(
        (
            _per('engine link and view', grown, size.engines),
            _per('engine load report', reports, size.engines),
            _per('remembered prefix of an engine', prefixes, _PREFIXES),
        ),
    )


def _report_loads(context: Context) -> None:
    for entry in context.fleet.engine_entries():
        entry.view.apply_load(
            EngineLoad(entry.name, Role.MIXED, True, *_LOAD),
        )


def _link_figures() -> Iterator[Figure]:
    context = open_context()
    links: dict[str, PeerLink] = {}
    grown = _grown_by(lambda: _open_links(context, links))
    yield _per('peer link with its last status', grown, _LINKS)
    ping = build_ping(*_NEWS)
    context.gossip.apply('warm-up', ping)
    news = _grown_by(lambda: _take_news(context))
    yield _per('news of a peer (64 engines, 17 services)', news, _LINKS)


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


def _take_news(context: Context) -> None:
    for number in range(_LINKS):
        context.gossip.apply(
            f'host-{number}',
            build_ping(*_NEWS),
        )


def _record_figure() -> Figure:
    context = open_context()
    return _per(
        'recent request with its weighed engines',
        _grown_by(lambda: note_requests(context, _RECORDS)),
        _RECORDS,
    )


def note_requests(context: Context, count: int) -> None:
    """Leave so many recent requests in a daemon's records."""
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
        considered = tuple(map(_estimate, range(_CONSIDERED)))
        record.record_choice(
            EngineChoice(engine, None, None, considered, reason),
        )
        record.mark_first_token()
        context.requests.end(record, 'completed')


def _estimate(number: int) -> CostEstimate:
    return CostEstimate(f'engine-{number}', number, *(_COST,) * 6)


def _usage_figure() -> Figure:
    meter = open_context().meter
    meter.add('warm-up', service_name(0), _USED)
    teams = Size().teams
    return _per('metered team', _grown_by(partial(_meter, meter, teams)), teams)


def _meter(meter: UsageMeter, teams: int) -> None:
    for number in range(teams):
        meter.add(team_name(number), service_name(0), _USED)


def _grown_by(build: Callable[[], object]) -> int:
    """Return the bytes that building something leaves allocated."""
    gc.collect()
    tracemalloc.start()
    kept = [build()]
    gc.collect()
    grown_by = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    kept.clear()
    return grown_by


def _per(name: str, grown_by: int, count: int) -> Figure:
    return Figure(_GROUP, name, grown_by / count, _BYTES)
