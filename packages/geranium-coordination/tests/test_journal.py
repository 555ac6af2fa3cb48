"""Tests of the outcomes of the order journal."""

import dataclasses
import random

import geranium_coordination as coordination
import pytest
from geranium_coordination import LateCopyHandling, OrderState

from .virtual_time import LoopClock, run

BOUND_S = coordination.JournalSettings().in_flight_bound_s


@dataclasses.dataclass
class FakeAuthority:
    """An authority that a test grants and revokes."""

    session: str
    host: str
    epoch: int
    until: float = 1e9

    def check(self, deadline_needed):
        if deadline_needed > self.until:
            return coordination.Lost('test')
        return coordination.Held(self.epoch, self.until)


class Harness:
    """A store, a host list and journals of several sessions."""

    def __init__(self, late_copy_handling):
        self.store = coordination.MemoryStore()
        self.clock = LoopClock()
        self.hosts = {'a', 'b'}
        self.receiver = coordination.OrderReceiver('engine', late_copy_handling)
        self.sent = []

    async def listed_hosts(self):
        return frozenset(self.hosts)

    def context(self):
        return coordination.JournalContext(
            self.store,
            self.clock,
            coordination.JournalSettings(),
            self,
            random.Random(1),
        )

    def journal(self, host, until=1e9, epoch=1):
        authority = FakeAuthority(f'{host}.1', host, epoch, until)
        return coordination.OrderJournal(
            self.context(),
            self.receiver,
            authority,
        )

    async def send(self, journal, order_id, length_s=1):
        outcome = await journal.plan(order_id, {'kind': 'drain'})
        deadline = self.clock.now() + length_s
        return await journal.send(outcome.order, self.sent.append, deadline)


def with_harness(late_copy_handling):
    def decorate(test):
        def runner():
            async def main():
                await test(Harness(late_copy_handling))

            run(main())

        return runner

    return decorate


@with_harness(LateCopyHandling.REFUSED)
async def test_successor_carries_the_order_on_with_a_higher_number(harness):
    former, successor = harness.journal('a'), harness.journal('b')
    await harness.send(former, 'o1')
    outcome = await successor.plan('o2', {'kind': 'resume'})
    assert isinstance(outcome, coordination.Unfinished)
    sent = await successor.send(outcome.order, harness.sent.append, 1)
    await successor.finish(sent, OrderState.DONE)
    assert [order.order_id for order in harness.sent] == ['o1', 'o1']
    assert [order.number for order in harness.sent] == [1, 2]
    assert isinstance(
        await successor.plan('o2', {'kind': 'resume'}),
        coordination.Planned,
    )


@with_harness(LateCopyHandling.REFUSED)
async def test_nothing_starts_unless_authority_outlasts_the_deadline(harness):
    journal = harness.journal('a', until=10)
    margin_s = coordination.JournalSettings().send_margin_s
    sent = await harness.send(journal, 'o1', 10 - margin_s + 0.01)
    assert isinstance(sent, coordination.NotStarted)
    assert not harness.sent
    assert isinstance(
        await harness.send(journal, 'o1', 9), coordination.Started
    )


@with_harness(LateCopyHandling.APPLIED)
async def test_former_sender_blocks_until_it_released(harness):
    former, successor = harness.journal('a'), harness.journal('b')
    await harness.send(former, 'o1')
    sent = await harness.send(successor, 'o1')
    await successor.finish(sent, OrderState.DONE)
    blocked = await successor.plan('o2', {})
    assert {row.host for row in blocked.senders} == {'a'}
    await former.release()
    assert harness.clock.now() >= 1 + BOUND_S
    assert isinstance(
        await successor.plan('o2', {}),
        coordination.Planned,
    )


@with_harness(LateCopyHandling.APPLIED)
async def test_former_sender_blocks_until_its_host_is_long_gone(harness):
    former, successor = harness.journal('a'), harness.journal('b')
    await harness.send(former, 'o1')
    sent = await harness.send(successor, 'o1')
    await successor.finish(sent, OrderState.DONE)
    harness.hosts.remove('a')
    blocked = coordination.Blocked
    assert isinstance(await successor.plan('o2', {}), blocked)
    await harness.clock.sleep_until(BOUND_S - 0.1)
    assert isinstance(await successor.plan('o2', {}), blocked)
    harness.hosts.add('a')
    assert isinstance(await successor.plan('o2', {}), blocked)
    harness.hosts.remove('a')
    await harness.clock.sleep_until(BOUND_S + 0.1)
    assert isinstance(await successor.plan('o2', {}), blocked)
    await harness.clock.sleep_until(BOUND_S * 2 + 0.2)
    planned = await successor.plan('o2', {})
    assert isinstance(planned, coordination.Planned)


@with_harness(LateCopyHandling.APPLIED)
async def test_host_that_is_not_listed_yet_sends_nothing(harness):
    """Other processes would treat it as a removed host."""
    harness.hosts.clear()
    sent = await harness.send(harness.journal('a'), 'o1')
    assert isinstance(sent, coordination.NotStarted)


@with_harness(LateCopyHandling.APPLIED)
async def test_restarted_host_releases_its_predecessors(harness):
    await harness.send(harness.journal('a'), 'o1')
    await harness.send(harness.journal('b'), 'o1')
    await coordination.release_predecessors(harness.context(), 'a')
    assert harness.clock.now() >= BOUND_S
    record = await harness.journal('b').load()
    assert {row.host for row in record.senders} == {'b'}


@with_harness(LateCopyHandling.DEDUPLICATED)
async def test_failed_order_is_waited_out_where_ids_are_known(harness):
    """A late copy of a failed order could be applied, of a done one not."""
    first, second = harness.journal('a'), harness.journal('b')
    await harness.send(first, 'o1')
    sent = await harness.send(second, 'o1')
    await second.finish(sent, OrderState.FAILED)
    assert isinstance(await second.plan('o2', {}), coordination.Blocked)
    await first.release()
    sent = await harness.send(second, 'o2')
    await harness.send(first, 'o2')
    await second.finish(sent, OrderState.DONE)
    assert isinstance(await second.plan('o3', {}), coordination.Planned)


@with_harness(LateCopyHandling.REFUSED)
async def test_planned_order_can_be_withdrawn_and_a_sent_one_not(harness):
    journal = harness.journal('a')
    planned = await journal.plan('o1', {})
    assert await journal.withdraw(planned.order)
    assert isinstance(await journal.plan('o1', {}), coordination.Ended)
    sent = await harness.send(journal, 'o2')
    assert not await journal.withdraw(sent.order)


@with_harness(LateCopyHandling.APPLIED)
async def test_start_that_raises_counts_as_in_flight(harness):
    journal = harness.journal('a')
    planned = await journal.plan('o1', {})

    def fail(order):
        raise OSError

    with pytest.raises(OSError):
        await journal.send(planned.order, fail, 1)
    sent = await harness.send(journal, 'o1')
    await journal.finish(sent, OrderState.DONE)
    assert isinstance(await journal.plan('o2', {}), coordination.Blocked)
    await harness.clock.sleep_until(1 + BOUND_S)
    assert isinstance(await journal.plan('o2', {}), coordination.Planned)


@with_harness(LateCopyHandling.APPLIED)
async def test_same_session_in_a_later_epoch_is_another_sender(harness):
    """The earlier epoch may have ended without a release."""
    await harness.send(harness.journal('a', epoch=1), 'o1')
    later = harness.journal('a', epoch=2)
    sent = await harness.send(later, 'o1')
    await later.finish(sent, OrderState.DONE)
    assert isinstance(await later.plan('o2', {}), coordination.Blocked)
