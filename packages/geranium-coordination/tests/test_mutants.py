"""Disables each mechanism: the checker must find the failure it prevents."""

import dataclasses
import math

import geranium_coordination as coordination
import pytest
from geranium_coordination import journal
from geranium_coordination.senders import SenderTracker

from .exploration import explore
from .history import Checker, Violation
from .scripts import (
    DEDUPLICATING,
    FENCING,
    NON_FENCING,
    SEEDS,
    scripted,
)
from .simulation import history_of
from .world import FaultKind

SEARCHED_SCENARIOS = 200
ORDER_FAULT_KINDS = (
    FaultKind.FREEZE_BEFORE_SEND,
    FaultKind.HOLD,
    FaultKind.CUT,
    FaultKind.LOSE,
    FaultKind.KILL,
)


def assert_found(promise, kinds, *receivers):
    with pytest.raises(Violation, match=promise):
        explore(kinds, receivers, SEARCHED_SCENARIOS)()


def assert_found_in_script(promise, name, *receivers):
    with pytest.raises(Violation, match=promise):
        for seed in SEEDS:
            Checker().check(history_of(scripted(name, seed, *receivers)))


def test_validity_counted_from_the_answer(monkeypatch):
    def count_from_answer(self, renewal):
        return self._clock.now() + self._settings.term_s

    monkeypatch.setattr(coordination.Session, '_valid_until', count_from_answer)
    assert_found_in_script('two holders', 'answer meets freeze')


@pytest.mark.parametrize('share', [0.5, 1])
def test_standstill_cut_short(monkeypatch, share):
    """Half a term is too short, and so is a term without the drift margin."""

    def judge_early(self, settings):
        unchanged_s = self.confirmed_at - self.unchanged_since
        return unchanged_s >= settings.term_s * share

    monkeypatch.setattr(coordination.SessionView, 'is_expired', judge_early)
    assert_found('two holders', (FaultKind.FREEZE, FaultKind.CUT))


def test_sessions_read_before_leases(monkeypatch):
    async def read_sessions_first(self):
        sessions = await self._read_sessions()
        self.view = coordination.MembershipView(
            sessions, await self._read_leases()
        )
        self._refreshed.set()
        self._refreshed = type(self._refreshed)()

    monkeypatch.setattr(coordination.Membership, 'refresh', read_sessions_first)
    assert_found_in_script('two holders', 'slow beside a killed holder')


def test_epoch_kept_on_a_take(monkeypatch):
    write = coordination.Leases._write

    async def write_same(self, wanted, condition):
        if wanted.session:
            wanted = dataclasses.replace(wanted, epoch=1)
        return await write(self, wanted, condition)

    monkeypatch.setattr(coordination.Leases, '_write', write_same)
    assert_found('epoch', (FaultKind.KILL,))


def test_authority_not_checked(monkeypatch):
    def hold_always(self, deadline_needed):
        return coordination.Held(self.epoch, math.inf)

    monkeypatch.setattr(coordination.Lease, 'check', hold_always)
    assert_found_in_script(
        'without authority', 'frozen while journalling', FENCING
    )


def test_sent_before_journalled(monkeypatch):
    async def claim_unwritten(self, order):
        return dataclasses.replace(order, number=order.number + 1)

    monkeypatch.setattr(
        coordination.OrderJournal, '_record_send', claim_unwritten
    )
    assert_found('conflicting', ORDER_FAULT_KINDS, NON_FENCING)


@pytest.mark.parametrize('receiver', [NON_FENCING, DEDUPLICATING])
def test_unfinished_order_not_carried_on(monkeypatch, receiver):
    def append_any(self, record, wanted):
        senders = self._senders.senders_in_flight(record)
        return dataclasses.replace(record, order=wanted, senders=senders)

    monkeypatch.setattr(coordination.OrderJournal, '_append', append_any)
    assert_found('conflicting', ORDER_FAULT_KINDS, receiver)


def test_fencing_number_kept(monkeypatch):
    claim = coordination.OrderJournal._with_own_send

    def claim_same_number(self, record, order):
        claimed = claim(self, record, order)
        if not isinstance(claimed, coordination.JournalRecord):
            return claimed
        same = dataclasses.replace(claimed.order, number=1)
        return dataclasses.replace(claimed, number=1, order=same)

    monkeypatch.setattr(
        coordination.OrderJournal, '_with_own_send', claim_same_number
    )
    assert_found_in_script('conflicting', 'frozen with order in hand', FENCING)


def test_former_senders_not_awaited(monkeypatch):
    monkeypatch.setattr(
        journal, 'must_await_senders', lambda late_copy_handling, record: 0
    )
    assert_found_in_script(
        'conflicting', 'frozen with order in hand', NON_FENCING
    )


def test_own_copies_not_awaited(monkeypatch):
    monkeypatch.setattr(
        SenderTracker,
        'in_flight_until',
        property(lambda senders: -math.inf),
    )
    assert_found('conflicting', (FaultKind.BUFFER,), NON_FENCING)


def test_host_gone_but_copies_not_awaited(monkeypatch):
    def may_be_in_flight(self, sender):
        if sender == self.own:
            return self._clock.now() < self.in_flight_until
        return sender.host not in self._gone_since_by_host

    monkeypatch.setattr(SenderTracker, '_may_be_in_flight', may_be_in_flight)
    assert_found_in_script('conflicting', 'host replaced', NON_FENCING)


def test_released_with_copies_in_flight(monkeypatch):
    release = coordination.OrderJournal.release

    async def release_at_once(self):
        self._senders.__init__(
            self._senders.own,
            self._senders._hosts,
            self._clock,
            0,
        )
        await release(self)

    monkeypatch.setattr(coordination.OrderJournal, 'release', release_at_once)
    assert_found_in_script('conflicting', 'copy in buffer', NON_FENCING)


def test_in_flight_bound_counted_from_before_the_start(monkeypatch):
    def begin(self, start, deadline, in_flight_bound_s):
        latest = max(deadline, self._clock.now())
        self._in_flight_until = latest + in_flight_bound_s
        self.send_handle = start()

    monkeypatch.setattr(coordination.Transmission, 'begin', begin)
    assert_found(
        'conflicting',
        (FaultKind.FREEZE_BEFORE_SEND, FaultKind.BUFFER),
        NON_FENCING,
    )
