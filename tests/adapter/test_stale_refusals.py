"""A target sends an earlier refusal once more on a kept connection."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from geranium_relay import (
    AnswerLostError,
    CacheHandle,
    NotRunError,
    RouteKind,
)

from .conftest import only_target
from .stale_target import GAP_S, Answer, Moment, StaleTarget
from .target_caller import TargetCaller, calling

NOT_RUN = ('Not-Executed: 1',)
PROMISES = (408, 421, 429, 503)
ANSWERED = (200, b'r2')


def refuse(
    identity: str | None, *headers: str, status: str = '503 Full'
) -> Answer:
    return Answer(status, (*NOT_RUN, *headers), identity, 'full')


@contextlib.asynccontextmanager
async def target_and_caller(
    first: Answer, moment: Moment
) -> AsyncIterator[tuple[StaleTarget, TargetCaller]]:
    target = StaleTarget(first, moment)
    server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with calling(f'{host}:{port}') as caller:
        yield target, caller
    server.close()


@pytest.mark.parametrize('moment', Moment)
@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('named', ['r1', None])
async def test_request_that_runs_is_not_taken_for_refused(
    moment: Moment, status: int, named: str | None
) -> None:
    first = refuse(named, status=f'{status} Refused')
    async with target_and_caller(first, moment) as (target, caller):
        assert await caller.send('r1') is NotRunError
        await asyncio.sleep(2 * GAP_S)

        result = await caller.send('r2')

        assert 'r2' in target.ran
        assert result in {ANSWERED, AnswerLostError}
        assert await caller.send('r3') == (200, b'r3')


@pytest.mark.parametrize('moment', [Moment.WITH_IT, Moment.IDLE])
async def test_copy_on_an_idle_connection_loses_no_answer(
    moment: Moment,
) -> None:
    async with target_and_caller(refuse('r1'), moment) as (_, caller):
        await caller.send('r1')
        await asyncio.sleep(2 * GAP_S)

        assert await caller.send('r2') == ANSWERED


@pytest.mark.parametrize('moment', Moment)
async def test_request_sent_again_is_not_taken_for_refused_by_the_copy(
    moment: Moment,
) -> None:
    first = refuse('r2')
    async with target_and_caller(first, moment) as (target, caller):
        assert await caller.read_prompt('r2') is NotRunError
        await asyncio.sleep(2 * GAP_S)

        assert await caller.send('r2') == ANSWERED
        assert target.ran == ['r2']


@pytest.mark.parametrize('moment', Moment)
@pytest.mark.parametrize('named', ['r1', None])
async def test_prompt_is_not_taken_for_that_of_another_request(
    moment: Moment, named: str | None
) -> None:
    first = Answer(
        '200 OK', (), named, '{"handle":"of-r1","tokens":1,"version":1}'
    )
    async with target_and_caller(first, moment) as (_, caller):
        assert await caller.read_prompt('r1') == 'of-r1'
        await asyncio.sleep(2 * GAP_S)

        assert await caller.read_prompt('r2') is AnswerLostError


@pytest.mark.parametrize('kind', RouteKind)
async def test_refusal_of_another_request_on_a_new_connection_is_no_promise(
    kind: RouteKind,
) -> None:
    first = refuse('r0')
    async with target_and_caller(first, Moment.SENT) as (_, caller):
        assert await caller.send('r1', kind) is AnswerLostError


async def test_answer_to_another_request_says_nothing_of_its_target() -> None:
    first = refuse(
        'r0', 'Retry-After: 30', 'Server-Leaving: 1', 'Server-Limit: 1'
    )
    async with target_and_caller(first, Moment.SENT) as (_, caller):
        await caller.send('r1')

        assert caller.notices.accepts_requests(caller.target.key)
        assert not caller.notices.rate_limits.limited_count


async def test_copy_as_answer_to_a_freed_prompt_says_nothing_of_its_target() -> (
    None
):
    first = refuse('r1', f'Retry-After: {GAP_S}')
    async with target_and_caller(first, Moment.SENT) as (target, caller):
        await caller.send('r1')
        await asyncio.sleep(2 * GAP_S)

        await caller.calls.drop_prompt(CacheHandle(caller.target, 'kept', 1))

        assert target.ran == ['']
        assert caller.notices.pause_end(caller.target.key) is None


async def test_connection_with_an_answer_to_another_request_is_closed() -> None:
    async with target_and_caller(refuse('r1'), Moment.SENT) as (target, caller):
        await caller.send('r1')
        assert await caller.send('r2') is AnswerLostError

        assert await caller.send('r3') == (200, b'r3')
        assert target.connections == 2


async def test_caller_is_not_told_that_a_request_that_ran_was_not_run(
    world,
) -> None:
    target = StaleTarget(refuse('r1'), Moment.SENT)
    async with only_target(world, target.serve):
        for identity in ('r1', 'r2'):
            async with world.caller.post(
                world.url('/safe/x'), headers=world.headers(Request_Id=identity)
            ) as response:
                status = response.status

    assert target.ran
    assert status not in PROMISES
