"""Tests of campaigns, failures, shutdown and the spread over hosts."""

import asyncio
import collections
import random

import geranium_coordination as coordination
import pytest

from .history import ObservedHolders
from .simulation import Scenario, simulate
from .virtual_time import LoopClock, run

LEASE_KEY = 'coordination/leases/d'


async def lease_of(store, seed=0):
    clock = LoopClock()
    rng = random.Random(seed)
    session = coordination.Session(
        store, clock, coordination.SessionSettings(), f'h{seed}', rng
    )
    await session.open()
    leases = coordination.Leases(
        store, clock, coordination.LeaseSettings(), rng
    )
    found = await store.read(LEASE_KEY)
    if found is None:
        record = await leases.create('d')
    else:
        record = coordination.LeaseRecord('d', found.version, 0, None, None)
    return leases, await leases.acquire(record, session)


def test_epoch_grows_across_release_and_deletion():
    async def main():
        store = coordination.MemoryStore()
        epochs = []
        for seed in range(4):
            leases, lease = await lease_of(store, seed)
            epochs.append(lease.epoch)
            await leases.release(lease)
            if seed == 1:
                await store.delete(LEASE_KEY, coordination.Unconditional())
        assert epochs == sorted(set(epochs))
        assert (await store.read(LEASE_KEY)).body['epoch'] == epochs[-1]

    run(main())


def test_check_asks_for_the_whole_deadline():
    async def main():
        _, lease = await lease_of(coordination.MemoryStore())
        until = lease.held_until()
        assert lease.check(until).epoch == lease.epoch
        assert isinstance(lease.check(until + 0.1), coordination.Lost)
        await asyncio.sleep(until - LoopClock().now())
        assert isinstance(lease.check(0), coordination.Lost)

    run(main())


def runner_of(store, host='h', seed=0):
    context = coordination.DutyContext(
        store,
        LoopClock(),
        coordination.DutySettings(),
        host,
        lambda: {'h', 'g'},
        random.Random(seed),
    )
    return coordination.DutyRunner(context)


async def stop(task):
    task.cancel()
    await asyncio.wait((task,))


def test_shutdown_stops_the_work_then_releases():
    async def main():
        store = coordination.MemoryStore()
        seen = []

        async def work(lease):
            try:
                await asyncio.Event().wait()
            finally:
                seen.append(lease.is_held())

        runner = runner_of(store)
        runner.add(coordination.Duty('d', work))
        task = asyncio.create_task(runner.run())
        await asyncio.sleep(10)
        assert runner.dump().holders[0].host == 'h'
        await stop(task)
        assert seen == [True]
        left = await store.read_prefix('')
        assert [row.key for row in left] == [LEASE_KEY]
        assert left[0].body['session'] is None

    run(main())


def test_work_is_cancelled_when_the_session_is_swept():
    async def main():
        store = coordination.MemoryStore()
        ends = []

        async def work(lease):
            try:
                await asyncio.Event().wait()
            finally:
                ends.append(lease.is_held())

        runner = runner_of(store)
        runner.add(coordination.Duty('d', work))
        task = asyncio.create_task(runner.run())
        await asyncio.sleep(10)
        sessions = await store.read_prefix('coordination/sessions/')
        await store.delete(sessions[0].key, coordination.Unconditional())
        await asyncio.sleep(3)
        assert ends == [False]
        await stop(task)

    run(main())


def test_failing_work_backs_off_and_lets_another_host_try():
    async def main():
        store = coordination.MemoryStore()
        starts = collections.Counter()

        def work_of(host):
            async def work(lease):
                starts[host] += 1
                raise ValueError(host)

            return work

        tasks = []
        for seed, host in enumerate(('h', 'g')):
            runner = runner_of(store, host, seed)
            runner.add(coordination.Duty('d', work_of(host)))
            tasks.append(asyncio.create_task(runner.run()))
        await asyncio.sleep(120)
        assert min(starts['h'], starts['g']) > 2
        assert sum(starts.values()) < 60
        for task in tasks:
            await stop(task)

    run(main())


@pytest.mark.parametrize('seed', range(3))
def test_duties_are_spread(seed):
    """18 duties over 9 hosts: none holds more than twice its share."""
    world = simulate(
        Scenario(
            rates=(1,) * 9,
            names=tuple(f'd{number}' for number in range(18)),
            seed=seed * 100,
            length_s=20,
        ),
    )
    holders_by_duty = {
        event.duty: event.sessions[0].partition('.')[0]
        for event in world.history
        if isinstance(event, ObservedHolders) and event.at > 19
    }
    counts = collections.Counter(holders_by_duty.values())
    assert counts.total() == 18
    assert max(counts.values()) <= 4


def test_ranking_moves_only_the_hosts_that_changed():
    before = coordination.rank_hosts('d', ['a', 'b', 'c', 'e'])
    after = coordination.rank_hosts('d', ['a', 'c', 'e'])
    assert tuple(host for host in before if host != 'b') == after


def test_backoff_stays_bounded_after_very_many_failures():
    async def main():
        runner = runner_of(coordination.MemoryStore())
        runner.add(coordination.Duty('d', None))
        election = runner._elections_by_duty['d']
        election._failures = 10**6
        limit_s = coordination.DutySettings().max_backoff_s
        assert limit_s / 2 <= election._backoff_s() <= limit_s
        await runner.remove('d')

    run(main())
