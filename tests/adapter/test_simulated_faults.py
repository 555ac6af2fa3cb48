"""The faults of simulated targets happen as they are described."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from aiohttp import ClientSession, web
from geranium_platform_standins import (
    ReceivedRequest,
    SimulatedTarget,
    SimulatedTargetFaults,
    count_events,
    format_event,
)

from .conftest import Serve
from .target_caller import TargetCaller, calling

# The length of a silence, and who asked for a pause; the caller leaves a long one.
SILENCES = ((0.1, ['r1']), (60, []))


class Observer:
    """Keeps which requests have run, and which were refused with a pause."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.paused: list[str] = []
        self.received = asyncio.Event()
        self._received: list[str] = []

    def record_received(self, taken: ReceivedRequest) -> int:
        self.received.set()
        self._received.append(taken.identity)
        return len(self._received) - 1

    def record_started(self, number: int) -> None:
        self.ran.append(self._received[number])

    def record_pause(self, number: int, pause_s: float) -> None:
        self.paused.append(self._received[number])

    def record_abandoned(self, number: int) -> None:
        """Keep nothing."""

    def record_response(self, number: int, signature: str, body: bytes) -> None:
        """Keep nothing."""

    def record_finished(self, number: int) -> None:
        """Keep nothing."""


@pytest.fixture
def observer() -> Observer:
    return Observer()


@pytest.fixture
def simulated(observer: Observer) -> SimulatedTarget:
    return SimulatedTarget('t1', 'app', observer, {}, random.Random(1))


@contextlib.asynccontextmanager
async def called(
    application: web.Application, serve: Serve
) -> AsyncIterator[TargetCaller]:
    async with calling(await serve(application)) as caller:
        yield caller


async def test_refusal_is_sent_once_more_when_the_next_request_arrives(
    simulated: SimulatedTarget, observer: Observer, serve: Serve
) -> None:
    application = simulated.application(streams=False)
    async with called(application, serve) as caller:
        simulated.faults = SimulatedTargetFaults(share=1, refuses=True)
        assert await caller.send('r1') is relay.NotRunError
        simulated.faults = SimulatedTargetFaults(share=1, repeats_refusal=True)

        assert await caller.send('r2') is relay.AnswerLostError

        assert observer.ran == ['r2']
        status, _ = await caller.send('r3')
        assert status == 200


async def test_refusals_name_their_request(
    simulated: SimulatedTarget, serve: Serve
) -> None:
    address = await serve(simulated.application(streams=False))
    simulated.faults = SimulatedTargetFaults(share=1, refuses=True)
    async with ClientSession() as session:
        for identity, status in (('t1', 503), ('t2', 421)):
            headers = {'Expect-Instance': identity, 'Request-Id': 'r1'}
            async with session.post(
                f'http://{address}/x', headers=headers
            ) as response:
                assert response.status == status
                assert response.headers['Request-Id'] == 'r1'


async def test_streams_that_are_resumed_get_an_error(
    simulated: SimulatedTarget, serve: Serve
) -> None:
    address = await serve(simulated.application(streams=True))
    simulated.faults = SimulatedTargetFaults(share=1, fails_resumed=True)
    types_by_status = {}
    async with ClientSession() as session, asyncio.timeout(10):
        while len(types_by_status) < 2:
            headers = {
                'Expect-Instance': 't1',
                'Request-Id': 'r1',
                'Last-Event-Id': '1',
            }
            async with session.post(
                f'http://{address}/x', headers=headers
            ) as response:
                types_by_status[response.status] = response.content_type

    assert types_by_status == {500: 'text/plain', 200: 'text/plain'}


async def test_streams_that_are_not_resumed_are_whole(
    simulated: SimulatedTarget, serve: Serve
) -> None:
    application = simulated.application(streams=True)
    simulated.faults = SimulatedTargetFaults(share=1, fails_resumed=True)
    async with called(application, serve) as caller:
        status, body = await caller.send('r1', relay.RouteKind.STREAM)

    numbers = range(1, count_events('r1') + 1)
    assert status == 200
    assert body == b''.join(format_event('r1', number) for number in numbers)


@pytest.mark.parametrize(('silence_s', 'paused'), SILENCES)
async def test_silent_target_asks_for_a_pause_when_it_sends(
    simulated: SimulatedTarget,
    observer: Observer,
    serve: Serve,
    silence_s: float,
    paused: list[str],
) -> None:
    address = await serve(simulated.application(streams=False))
    simulated.faults = SimulatedTargetFaults(share=1, refuses=True, pause_s=5)
    headers = {'Expect-Instance': 't1', 'Request-Id': 'r1'}
    silence = asyncio.create_task(simulated.silence.last(silence_s))
    await asyncio.sleep(0)
    async with ClientSession() as session:
        posting = asyncio.create_task(
            session.post(f'http://{address}/x', headers=headers)
        )
        await observer.received.wait()
        if not paused:
            posting.cancel()
        await asyncio.wait((posting,))
    silence.cancel()

    assert observer.paused == paused
