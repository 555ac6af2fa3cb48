"""A kept connection that closes as it is used again says little of its target.

Requests failed for want of another target, since the only one was avoided.
"""

import geranium_relay as relay
import pytest
from geranium_policy.retry_share import RetryShareSettings
from geranium_relay.broken_connections import BrokenConnection

from .world import EVENTS, World, answer, failing

NO_BUDGET = RetryShareSettings(0, 0, 10)


def connection(calls: int) -> BrokenConnection:
    return BrokenConnection('h1:1', 't1:1', 1, calls, 0)


def lost(calls: int, *, response_began: bool = False) -> relay.RelayError:
    """Return the error of a call that was the n-th on its connection."""
    return relay.AnswerLostError(
        'closed',
        broken=True,
        connection=connection(calls),
        response_began=response_began,
    )


def unsent(calls: int) -> relay.RelayError:
    """Return the error of such a call of which no byte was written."""
    return relay.NotSentError('closed', connection=connection(calls))


OWN_FAILURES = (lost(1), lost(2, response_began=True))


@pytest.mark.parametrize('error', [lost(2), unsent(2)])
@pytest.mark.parametrize('route', ['safe', 'resumable'])
async def test_only_target_gets_the_request_on_a_new_connection(
    route: str, error: relay.RelayError
) -> None:
    world = World(failing(error), answer(*EVENTS), targets=1)

    outcome, _ = await world.serve(route)

    assert outcome == relay.Delivered(200)
    first, second = world.targets.calls
    assert not first.new_connection
    assert second.new_connection


# A crashed target closes its connections, too.
async def test_target_that_accepts_no_connections_is_avoided() -> None:
    world = World(failing(lost(2)), targets=1)
    world.targets.reachable = False

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Failed('no target')
    assert len(world.targets.calls) == 1


@pytest.mark.parametrize('error', OWN_FAILURES)
async def test_target_that_breaks_the_call_itself_is_avoided(
    error: relay.RelayError,
) -> None:
    world = World(failing(error), targets=1)

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Failed('no target')


# The target would get the request again and again.
@pytest.mark.parametrize('error', [lost, unsent])
async def test_target_whose_new_connection_breaks_is_avoided(error) -> None:
    errors = error(2), error(1)
    world = World(*map(failing, errors), targets=1)

    await world.serve('resumable')

    assert len(world.targets.calls) == 2


async def test_request_that_may_have_run_is_not_sent_on_a_new_one() -> None:
    world = World(failing(lost(2)), targets=1)

    outcome, _ = await world.serve('unsafe')

    assert isinstance(outcome, relay.Failed)
    assert len(world.targets.calls) == 1


async def test_call_on_a_new_connection_needs_the_retry_budget() -> None:
    world = World(failing(lost(2)), targets=1, retry_budget=NO_BUDGET)

    outcome, _ = await world.serve('safe')

    assert outcome == relay.Failed('no repeat left')
    assert len(world.targets.calls) == 1


# A call that was not sent is no call.
async def test_unsent_call_needs_no_retry_budget() -> None:
    world = World(
        failing(unsent(2)), answer(b'yes'), targets=1, retry_budget=NO_BUDGET
    )

    outcome, _ = await world.serve('unsafe')

    assert outcome == relay.Delivered(200)
