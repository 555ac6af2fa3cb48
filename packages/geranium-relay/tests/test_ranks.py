"""Requests are ranked by whether they can still meet their objective."""

import dataclasses

import geranium_relay as relay
from geranium_policy.crash_causes import RequestFingerprints
from geranium_policy.stale_loads import StaleLoadSettings
from geranium_relay.engine_loads import EngineLoads

from .world import World, answer, make_route

PROMPT = relay.Prompt(100, 10, (relay.PromptPart('own', 100),))
ROUTE = make_route('stream', relay.RouteKind.STREAM, priority=1)
NEVER_LATE = float('inf')


def job(due_at: float, team: relay.Team | None = None) -> relay.Job:
    arrival = relay.IncomingRequest(
        identity='r1',
        method='POST',
        path='/stream/x',
        headers=(),
        body=b'',
        arrived_at=100,
        caller_deadline=102,
        resume_after=None,
        prompt=PROMPT,
    )
    return relay.Job(
        arrival, ROUTE, 'service', team, 102, RequestFingerprints(0), due_at
    )


def test_late_request_comes_after_the_least_urgent_of_those_in_time() -> None:
    least_urgent = relay.Team('team', 2)

    in_time = job(due_at=100.1, team=least_urgent)
    late = job(due_at=99.9)

    assert in_time.rank < late.rank


def test_late_requests_keep_their_order() -> None:
    urgent = relay.Team('team', 0)

    assert job(99, urgent).rank < job(99).rank


def test_request_of_unknown_history_is_in_time() -> None:
    assert job(NEVER_LATE).rank == ROUTE.priority


async def test_caller_that_retries_after_an_outage_is_ranked_as_late() -> None:
    """A newly started host gets a first attempt and a retry."""
    world = World(answer(b'id: 1\n\n'), answer(b'id: 1\n\n'), engines=True)
    now = world.clock.now()

    for left_s in (0.6, 0.3):
        outcome, _ = await world.serve(
            'stream',
            prompt=PROMPT,
            arrived_at=now,
            caller_deadline=now + left_s,
        )
        assert isinstance(outcome, relay.Delivered)

    first, retry = (call.job for call in world.targets.calls)
    assert not first.is_late
    assert retry.is_late


async def test_calls_without_a_prompt_have_no_rank_by_lateness() -> None:
    world = World(answer(b'yes'))

    await world.serve('safe', caller_deadline=world.clock.now() + 0.3)

    call = world.targets.calls[0]
    assert not call.job.is_late


def test_stale_peer_queue_counts_in_part() -> None:
    """A peer in another zone reported one of two engines as busy."""
    target = relay.Target(
        identity='t',
        born_ms=1,
        service='service',
        address='10.0.0.1:1',
        zone='a',
        slots=6,
        leaving=False,
        reclaimable=False,
        stage=relay.Stage.PREFILL,
        weights_version=None,
    )
    other = dataclasses.replace(target, identity='o')
    targets_by_key = {one.key: one for one in (target, other)}
    loads = relay.LoadTracker(10)
    load_by_key = {target.key: relay.TargetLoad(1, (1000, 0, 0, 0))}
    loads.update_peer('far', load_by_key, 100)
    loads.open(relay.Dispatch(other.key, 0, 50, 100, 1))

    fresh = EngineLoads(loads, StaleLoadSettings(0.3), int)
    stale = EngineLoads(loads, StaleLoadSettings(0.3), lambda: 0.3)

    rates_by_key = dict.fromkeys(targets_by_key, 50000.0)
    found = fresh.ahead_of(0, targets_by_key, rates_by_key, 100)
    assert found[target.key].queued_tokens == 1000
    assert found[other.key].queued_tokens == 50
    found = stale.ahead_of(0, targets_by_key, rates_by_key, 100)
    assert found[target.key].queued_tokens == 750
    assert found[other.key].queued_tokens == 300
    assert found[target.key].running == 1
