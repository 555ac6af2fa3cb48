"""Each window is reported once, and no usage is counted twice."""

import geranium_coordination as coordination
import pytest
from geranium_coordination import UsageBatch, counted_batches, usage_reporter
from geranium_coordination.usage_seals import (
    decode_seal,
    encode_seal,
    seal_window,
)
from geranium_model import Usage
from hypothesis import given, settings, strategies

from .config_store import Schedule, ScheduledStore
from .usage_history import History, Submitted
from .usage_run import Run

SEEDS = strategies.integers(min_value=0, max_value=10**6)
ONE = Usage(requests=1)
TWO = Usage(requests=2)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(seed=SEEDS)
def test_windows_have_one_figure_and_records_count_once(seed):
    assert not Run(seed).violations()


def test_most_records_are_acknowledged_and_many_windows_reported():
    runs = [Run(seed) for seed in range(20)]
    assert not any(played.violations() for played in runs)
    recorded = sum(len(played.history.recorded) for played in runs)
    acknowledged = sum(len(played.history.acknowledged) for played in runs)
    assert acknowledged > recorded // 3
    assert min(len(played.history.submitted) for played in runs) > 3


def seal_by_overwrite(patch):
    patch.setattr(usage_reporter, 'IfAbsent', coordination.Unconditional)


def submit_the_proposal(patch):
    async def seal(self, window, accounts):
        batches = await self._collector.collect(window)
        proposed = seal_window(window, accounts, batches, 48)
        await self._create(
            usage_reporter.seal_key(window), encode_seal(proposed)
        )
        return proposed

    patch.setattr(usage_reporter.UsageReporter, '_seal', seal)


def acknowledge_before_replication(patch):
    async def replicate(self):
        self._close_batch()

    patch.setattr(coordination.UsageLedger, 'replicate', replicate)


def count_again(patch):
    patch.setattr(counted_batches.CountedBatches, 'accepts', lambda *_: True)


def ignore_missing(patch):
    def accepts(self, sequence):
        return sequence > self.counted_to

    patch.setattr(counted_batches.OriginProgress, 'accepts', accepts)


@pytest.mark.parametrize(
    'mutant',
    [
        seal_by_overwrite,
        submit_the_proposal,
        acknowledge_before_replication,
        count_again,
        ignore_missing,
    ],
)
def test_checker_catches_the_mutant(mutant, monkeypatch):
    mutant(monkeypatch)
    assert any(Run(seed).violations() for seed in range(100))


ONCE = Submitted(1, {'a': 1})
NONE_IN_FIRST = Submitted(1, {})
NONE_IN_SECOND = Submitted(2, {})
NONE_IN_THIRD = Submitted(3, {})


@pytest.mark.parametrize(
    'history',
    [
        History({'a'}, set(), [NONE_IN_FIRST, ONCE]),
        History({'a'}, set(), [ONCE, NONE_IN_THIRD]),
        History({'a'}, set(), [Submitted(1, {'a': 2})]),
        History({'a'}, set(), [ONCE, Submitted(2, {'a': 1})]),
        History({'a'}, {'a'}, [NONE_IN_FIRST]),
        History(set(), set(), [ONCE]),
    ],
)
def test_checker_rejects(history):
    assert list(history.violations())


def test_checker_accepts_a_valid_history():
    reports = [ONCE, ONCE, NONE_IN_SECOND]
    history = History({'a', 'b'}, {'a'}, reports)
    assert not list(history.violations())


def batch(sequence, window, origin='a#1'):
    return UsageBatch(origin, sequence, window, {'team': ONE})


def test_late_batch_becomes_a_correction_of_the_next_window():
    accounts = coordination.CountedBatches()
    early = [batch(1, 7), batch(3, 7)]
    last = batch(4, 8)
    late = [batch(2, 7), last, last]
    first = seal_window(7, accounts, early, 48)
    second = seal_window(8, first.accounts, early + late, 48)
    assert first.usage_by_team == {'team': TWO}
    assert second.usage_by_team == {'team': TWO}
    assert second.corrections == {7: ONE}
    assert decode_seal(encode_seal(second)) == second


def test_batch_of_a_removed_origin_is_not_counted_again():
    accounts = seal_window(1, coordination.CountedBatches(), [batch(1, 1)], 2)
    for window in range(2, 8):
        accounts = seal_window(window, accounts.accounts, [batch(1, 1)], 2)
        assert not accounts.usage_by_team
    assert not accounts.accounts.by_origin


class Peers:
    """Accepts batches, but refuses the first ones."""

    def __init__(self, refusals: int = 0) -> None:
        self.refusals = refusals
        self.seen: list[UsageBatch] = []

    async def replicate(self, sent):
        self.seen.append(sent)
        if len(self.seen) <= self.refusals:
            raise coordination.ReplicationError('refused')


async def test_batch_is_resent_unchanged_until_it_is_replicated():
    peers = Peers(refusals=1)
    ledger = coordination.UsageLedger('a#1', peers)
    ledger.record(5, 'team', ONE)
    with pytest.raises(coordination.ReplicationError):
        await ledger.replicate()
    ledger.record(5, 'team', ONE)
    await ledger.replicate()
    sequences = [seen.sequence for seen in peers.seen]
    assert sequences == [1, 1, 2]
    assert peers.seen[0] == peers.seen[1]


def test_ledger_prunes_sealed_batches_only():
    ledger = coordination.UsageLedger('a#1', Peers())
    later = batch(2, 8)
    ledger.merge([batch(1, 7), later, later])
    accounts = coordination.CountedBatches()
    sealed = seal_window(7, accounts, ledger.batches(7), 48)
    ledger.prune(sealed.accounts)
    assert ledger.batches(9) == (later,)


def test_origin_is_renamed_after_a_long_time_without_usage():
    ledger = coordination.UsageLedger('a#1', Peers())
    for window in (5, 6, 200):
        ledger.record(window, 'team', ONE)
    names = {held.origin for held in ledger.batches(200)}
    assert len(names) == 2


class Daemon:
    """Returns one batch and fails on any report."""

    async def collect(self, through_window):
        return (batch(1, through_window),)

    async def submit(self, report):
        raise AssertionError(report)


async def test_reporter_without_authority_submits_nothing():
    schedule = Schedule()
    reporter = coordination.UsageReporter(
        ScheduledStore(schedule),
        Daemon(),
        Daemon(),
        lambda: None,
        clock=schedule,
    )
    ends = await schedule.run(reporter.report(7))
    assert isinstance(ends[0], coordination.AuthorityLostError)
