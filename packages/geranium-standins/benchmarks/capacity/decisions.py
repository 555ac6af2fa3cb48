"""Processor time of routing, admission, rebalancing and event checks."""

import asyncio
import random
import time
from collections.abc import Iterator
from functools import partial

from geranium_model import Engine, EngineLoad, ModelService, Role, Usage
from geranium_policy import (
    AdmissionSettings,
    EngineView,
    QueueEntry,
    RequestProfile,
    Router,
    RouterSettings,
    ServiceQueue,
)
from geranium_policy import Fleet as ServingFleet
from geraniumd.callers import CompletionAdmission, EventBuffer, TargetSelector

from .figures import Figure, processor_us
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

_GROUP = 'decision'
_US = 'us'
_ROUNDS = 500
_ENGINES = (16, 64, 256)
_SERVICE_ENGINES = 118
_TEAMS = (1, 64, 1024)
_BATCHES = (1, 8)
_EVENT_ROUNDS = 20
_PAYLOAD = b'data: {"id": "e-1", "choices": [{"delta": {"content": "a"}}]}'
_LOAD = (3, 4, 500, 2000, 6000, 0)
_PROMPT_TOKENS = 1024
_EXPECTED_TOKENS = 256
_PREFIXES = tuple(range(8))
_DISTANT_DEADLINE_S = 1e9
_EVENTS = 2000
_REBALANCED_S = 4
_USED = Usage(_PROMPT_TOKENS, _EXPECTED_TOKENS, 1)


async def measure_decisions() -> list[Figure]:
    """Return the processor time of each decision."""
    return [
        *_routing_figures(),
        await _selection_figure(),
        *_admission_figures(),
        *await _rebalance_figures(),
        *_event_figures(),
    ]


def _routing_figures() -> Iterator[Figure]:
    for count in _ENGINES:
        router = Router(RouterSettings(seed=1))
        views = [_view(number) for number in range(count)]
        choose = partial(router.choose, _profile(0), views, 1)
        spent = processor_us(choose, _ROUNDS)
        yield Figure(_GROUP, f'choice among {count} engines', spent, _US)


async def _selection_figure() -> Figure:
    context = build_idle_context()
    loaded = await load_document(build_document(Size(teams=1)))
    context.fleet.apply_configuration(loaded.configuration)
    selector = TargetSelector(
        context.fleet,
        RouterSettings(seed=1),
        context.clock,
        random.Random(1),
    )
    spent = processor_us(
        lambda: selector.select_engine(_profile(0), ()),
        _ROUNDS,
    )
    name = 'choice in the daemon, 118 engines of a service, 2,000 known'
    return Figure(_GROUP, name, spent, _US)


def _admission_figures() -> Iterator[Figure]:
    for teams in _TEAMS:
        queue = ServiceQueue(AdmissionSettings(HOST), 0)
        queue.rebalance(ServingFleet(_SERVICE_ENGINES), 0)
        for number in range(teams):
            queue.offer(_entry(number), 0)
        spent = processor_us(partial(_admit, queue), _ROUNDS)
        yield Figure(
            _GROUP,
            f'offer, release and settle with {teams} teams waiting',
            spent,
            _US,
        )


def _admit(queue: ServiceQueue) -> None:
    queue.offer(_entry(0), 1)
    entry = queue.release(1)
    queue.complete(entry.profile.request_id, _PROMPT_TOKENS, _EXPECTED_TOKENS)


async def _rebalance_figures() -> list[Figure]:
    figures = []
    for teams in (1, Size().teams):
        context = build_idle_context()
        context.replica.apply(
            await load_document(build_document(Size(teams=teams)))
        )
        context.fleet.apply_configuration(context.follower.configuration)
        admission = CompletionAdmission(context)
        for number in range(Size().services):
            service = ModelService(service_name(number), 'model', '1')
            profile = _profile(number)
            await admission.admit(profile, service, '')
            admission.complete(profile, service, _USED)
        figures.append(await _rebalance_figure(admission, teams))
    return figures


async def _rebalance_figure(
    admission: CompletionAdmission,
    teams: int,
) -> Figure:
    task = asyncio.create_task(admission.run())
    started_at = time.process_time()
    await asyncio.sleep(_REBALANCED_S)
    spent_s = time.process_time() - started_at
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return Figure(
        _GROUP,
        f'rebalancing 17 services, {teams} teams configured',
        spent_s / _REBALANCED_S * 100,
        '% of a core',
    )


def _event_figures() -> Iterator[Figure]:
    for batch in _BATCHES:
        chunks = [
            b''.join(map(_event, range(start, start + batch)))
            for start in range(0, _EVENTS, batch)
        ]
        spent = processor_us(partial(_feed_events, chunks), _EVENT_ROUNDS)
        yield Figure(
            _GROUP,
            f'event check alone, {batch} events a read',
            spent / _EVENTS,
            'us an event',
        )


def _event(offset: int) -> bytes:
    return b'id: e-1:%d\n%b\n\n' % (offset, _PAYLOAD)


def _feed_events(chunks: list[bytes]) -> None:
    buffer = EventBuffer('e-1')
    for chunk in chunks:
        buffer.feed(chunk)


def _view(number: int) -> EngineView:
    name = engine_name(number)
    view = EngineView(Engine(name, service_name(0), 'zone-00', f'{name}:1'))
    view.apply_load(
        EngineLoad(name, Role.MIXED, True, *_LOAD),
    )
    if number % 4 == 0:
        view.prefixes.remember(_PREFIXES, 0)
    return view


def _profile(number: int) -> RequestProfile:
    return RequestProfile(
        request_id=f'request-{number}',
        team=team_name(number),
        service=service_name(number % Size().services),
        priority=5,
        prompt_tokens=_PROMPT_TOKENS,
        expected_tokens=_EXPECTED_TOKENS,
        prefix_hashes=_PREFIXES,
        deadline=_DISTANT_DEADLINE_S,
    )


def _entry(number: int) -> QueueEntry:
    return QueueEntry(_profile(number), f'key-{number}', 0, _DISTANT_DEADLINE_S)
