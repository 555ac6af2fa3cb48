"""A call with an idempotency key runs at most once despite failures."""

import asyncio
import contextlib

import geranium_coordination as coordination
import pytest
from geranium_coordination import (
    AlreadyCompleted,
    Claimed,
    ClaimUnavailable,
    InProgress,
    Unknown,
    claim_buckets,
    claim_committer,
    claims,
)
from hypothesis import given, settings, strategies

from .claim_history import (
    AnsweredNotRun,
    Executed,
    Replayed,
    Stuck,
    violations,
)
from .claim_run import QUIET_PERIOD_S, Run
from .config_store import Faults, Schedule, ScheduledStore

SEEDS = strategies.integers(min_value=0, max_value=10**6)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(seed=SEEDS)
def test_no_call_runs_twice_or_stays_stuck(seed):
    assert not list(violations(Run(seed).play()))


def test_most_calls_are_run_or_replayed():
    histories = [Run(seed).play() for seed in range(30)]
    ran = sum(
        isinstance(event, Executed) for played in histories for event in played
    )
    replayed = sum(
        isinstance(event, Replayed) for played in histories for event in played
    )
    assert ran > 60
    assert replayed > 30


def send_before_claiming(patch):
    serve = Run.serve

    async def eager(self, host, call):
        ticket = host.journal._tickets.issue(call, f'print of {call}')
        await self._send(host, call, ticket)
        return await serve(self, host, call)

    patch.setattr(Run, 'serve', eager)


def overwrite(patch):
    patch.setattr(
        claim_committer, 'IfVersion', lambda _: coordination.Unconditional()
    )


def rerun_after_holder_is_gone(patch):
    claim = claim_buckets.ClaimBucket.claim

    def free(self, ticket, is_gone):
        entry = self.entries.get(ticket.claim_id)
        if entry and entry.outcome is None and is_gone(entry.holder):
            self.entries.pop(ticket.claim_id)
        return claim(self, ticket, is_gone)

    patch.setattr(claim_buckets.ClaimBucket, 'claim', free)


def treat_lost_claims_as_unsent(patch):
    abandon = claim_committer.ClaimCommitter._abandon

    def treat_as_unsent(self, queued):
        queued.sent = False
        abandon(self, queued)

    patch.setattr(claim_committer.ClaimCommitter, '_abandon', treat_as_unsent)


def reuse_the_attempt(patch):
    patch.setattr(claims._Tickets, 'renew', lambda _, ticket: ticket)
    patch.setattr(coordination.ClaimJournal, '_revoke', lambda *_: None)


def trust_the_cached_bucket(patch):
    patch.setattr(claim_committer, '_are_final', lambda answers: True)


def answer_lost_claims_as_claimed(patch):
    fail = claim_committer.ClaimCommitter._fail

    def optimistic(self, batch, error):
        if isinstance(error, coordination.AnswerLostError):
            for claim in batch:
                if isinstance(claim.operation, claim_buckets.Claim):
                    claim.finish(Claimed(claim.operation.ticket))
                    self._queue.remove(claim)
            batch = [left for left in batch if left in self._queue]
        fail(self, batch, error)

    patch.setattr(claim_committer.ClaimCommitter, '_fail', optimistic)


@pytest.mark.parametrize(
    'mutant',
    [
        send_before_claiming,
        overwrite,
        rerun_after_holder_is_gone,
        treat_lost_claims_as_unsent,
        reuse_the_attempt,
        trust_the_cached_bucket,
        answer_lost_claims_as_claimed,
    ],
)
def test_checker_catches_the_mutant(mutant, monkeypatch):
    mutant(monkeypatch)
    histories = (Run(seed).play() for seed in range(400))
    assert any(list(violations(history)) for history in histories)


@pytest.mark.parametrize(
    'history',
    [
        [Executed('c', 'a/1'), Executed('c', 'b/1')],
        [Executed('c', 'a/1'), AnsweredNotRun('c', 'a/1')],
        [Executed('c', 'a/1'), Replayed('c', 'b/1')],
        [Stuck('c')],
    ],
)
def test_checker_rejects(history):
    assert list(violations(history))


def test_checker_accepts_a_valid_history():
    history = [
        AnsweredNotRun('c', 'a/1'),
        Executed('c', 'a/2'),
        Replayed('c', 'a/2'),
    ]
    assert not list(violations(history))


class Peers:
    """Peers of a host that owns every bucket; tests set the gone holders."""

    def __init__(self) -> None:
        self.gone: set[str] = set()

    def is_gone(self, holder):
        return holder in self.gone

    def owner_of(self, bucket):
        """Return none: this host is the only one."""

    async def forward(self, owner, operation):
        raise NotImplementedError


class UnresponsivePeers(Peers):
    """Forwards every operation to an owner and loses every response."""

    def __init__(self, owner) -> None:
        super().__init__()
        self.owner = owner
        self.serving: list[asyncio.Task] = []

    def owner_of(self, bucket):
        return None if self.owner is None else 'owner'

    async def forward(self, owner, operation):
        served = asyncio.create_task(self.owner.execute(operation))
        self.serving.append(served)
        raise ConnectionError(owner)


class Journals:
    """Journals of several hosts that share a store, run by a schedule."""

    def __init__(self, **changed) -> None:
        self.schedule = Schedule()
        self.store = ScheduledStore(self.schedule)
        self.peers = Peers()
        self.settings = coordination.ClaimSettings(buckets=1, **changed)

    def make(self, holder: str, peers=None):
        return coordination.ClaimJournal(
            holder,
            self.store,
            peers or self.peers,
            self.settings,
            self.schedule,
        )

    @contextlib.asynccontextmanager
    async def running(self, journal):
        task = asyncio.create_task(journal.run())
        yield journal
        task.cancel()

    def journal(self, holder: str):
        return self.running(self.make(holder))

    async def run_all(self, *coroutines):
        answers = await self.schedule.run(*coroutines)
        return answers[0] if len(answers) == 1 else answers


TICKET = coordination.ClaimTicket('id', 'print', 'a#1', 'a#1/0')
OUTCOME = coordination.make_call_outcome(201, (('Location', '/1'),), b'done')


async def test_resend_gets_the_outcome_through_any_host():
    journals = Journals()
    async with journals.journal('a#1') as one, journals.journal('b#1') as two:
        claimed = await journals.run_all(one.claim('team', 'key', 'print'))
        running = await journals.run_all(two.claim('team', 'key', 'print'))
        await journals.run_all(one.complete(claimed.ticket, OUTCOME))
        kept = await journals.run_all(two.claim('team', 'key', 'print'))
    assert running == InProgress('a#1')
    assert kept == AlreadyCompleted(OUTCOME)


async def test_key_belongs_to_its_team_and_its_call():
    journals = Journals()
    async with journals.journal('a#1') as one:
        first = await journals.run_all(one.claim('team', 'key', 'print'))
        other = await journals.run_all(one.claim('other', 'key', 'print'))
        changed = await journals.run_all(one.claim('team', 'key', 'altered'))
    assert isinstance(first, Claimed)
    assert isinstance(other, Claimed)
    assert changed == coordination.Mismatch()


async def test_call_of_a_gone_host_stays_unknown():
    journals = Journals()
    async with journals.journal('a#1') as one, journals.journal('b#1') as two:
        await journals.run_all(one.claim('team', 'key', 'print'))
        journals.peers.gone.add('a#1')
        assert (
            await journals.run_all(two.claim('team', 'key', 'print'))
            == Unknown()
        )
        journals.peers.gone.clear()
        assert (
            await journals.run_all(one.claim('team', 'key', 'print'))
            == Unknown()
        )


async def test_released_and_cancelled_calls_may_be_sent_again():
    journals = Journals()
    async with journals.journal('a#1') as one, journals.journal('b#1') as two:
        first = await journals.run_all(one.claim('team', 'key', 'print'))
        await journals.run_all(one.release(first.ticket))
        left = asyncio.create_task(one.claim('team', 'key', 'print'))
        await asyncio.sleep(0)
        left.cancel()
        await journals.run_all(one.claim('team', 'another', 'print'))
        again = await journals.run_all(two.claim('team', 'key', 'print'))
    assert isinstance(again, Claimed)


async def test_concurrent_claims_share_writes():
    journals = Journals()
    async with journals.journal('a#1') as one:
        answers = await journals.run_all(
            *(one.claim('team', f'key-{number}', 'p') for number in range(200))
        )
    assert all(isinstance(answer, Claimed) for answer in answers)
    assert journals.store.counts['write'] <= 2


async def test_outage_is_answered_as_not_run_and_leaves_nothing():
    journals = Journals()
    journals.schedule.faults = Faults(refused=1)
    async with journals.journal('a#1') as one, journals.journal('b#1') as two:
        refused = await journals.run_all(one.claim('team', 'key', 'print'))
        journals.schedule.faults = Faults()
        again = await journals.run_all(two.claim('team', 'key', 'print'))
    assert isinstance(refused, ClaimUnavailable)
    assert isinstance(again, Claimed)


async def test_claim_whose_response_was_lost_is_revoked():
    journals = Journals()
    async with journals.journal('a#1') as one, journals.journal('b#1') as two:
        await journals.run_all(one.claim('team', 'before', 'print'))
        journals.schedule.faults = Faults(lost_after=1)
        refused = await journals.run_all(one.claim('team', 'key', 'print'))
        stored = journals.store.stored['claims/0'].body
        journals.schedule.faults = Faults()
        await journals.run_all(journals.schedule.idle(QUIET_PERIOD_S))
        again = await journals.run_all(two.claim('team', 'key', 'print'))
    assert len(stored['entries']) == 2
    assert isinstance(refused, ClaimUnavailable)
    assert isinstance(again, Claimed)


async def test_late_forwarded_claim_is_rejected():
    journals = Journals()
    owner = journals.make('owner')
    peers = UnresponsivePeers(owner)
    requester = journals.make('asker', peers)
    async with journals.running(requester):
        claimed = await journals.run_all(
            requester.claim('team', 'key', 'print')
        )
        peers.owner = None
        await journals.run_all(requester.release(claimed.ticket))
        async with journals.running(owner):
            again = await journals.run_all(owner.claim('team', 'key', 'print'))
    late = [served.result() for served in peers.serving]
    assert isinstance(late[0], ClaimUnavailable)
    assert isinstance(again, Claimed)


async def test_disconnect_during_the_second_attempt_frees_the_call():
    journals = Journals()
    requester = journals.make(
        'asker', UnresponsivePeers(journals.make('owner'))
    )

    async def leave():
        claiming = asyncio.create_task(requester.claim('team', 'key', 'print'))
        await journals.schedule.idle(1)
        claiming.cancel()

    async with journals.running(requester), journals.journal('other') as other:
        await journals.run_all(requester.claim('team', 'before', 'print'))
        journals.schedule.faults = Faults(lost_after=1)
        await journals.run_all(leave())
        stored = journals.store.stored['claims/0'].body
        journals.schedule.faults = Faults()
        await journals.run_all(journals.schedule.idle(QUIET_PERIOD_S))
        again = await journals.run_all(other.claim('team', 'key', 'print'))
    assert len(stored['entries']) == 2
    assert isinstance(again, Claimed)


async def test_full_bucket_rejects_new_claims_and_finds_old_ones():
    journals = Journals(bucket_limit_bytes=800)
    async with journals.journal('a#1') as one:
        for number in range(3):
            last = await journals.run_all(
                one.claim('team', f'{number}', 'print')
            )
        known = await journals.run_all(one.claim('team', '0', 'print'))
    assert isinstance(last, ClaimUnavailable)
    assert known == InProgress('a#1')


async def test_claims_are_removed_after_the_retention_ticks():
    journals = Journals(tick_s=100, retention_ticks=2)
    async with journals.journal('a#1') as one:
        first = await journals.run_all(one.claim('team', 'key', 'print'))
        await journals.run_all(one.complete(first.ticket, OUTCOME))
        answers = []
        for number in range(5):
            later = journals.schedule.now() + 100
            await journals.run_all(journals.schedule.sleep_until(later))
            answers.append(
                await journals.run_all(one.claim('team', f'{number}', ''))
            )
            answers.append(
                await journals.run_all(one.claim('team', 'key', 'print'))
            )
    assert answers.count(AlreadyCompleted(OUTCOME)) == 2
    assert isinstance(answers[-1], Claimed | InProgress)


@pytest.mark.parametrize(
    'message',
    [
        claim_buckets.Claim(TICKET),
        claim_buckets.Complete(TICKET, OUTCOME),
        claim_buckets.Revoke(TICKET),
        Claimed(TICKET),
        AlreadyCompleted(OUTCOME),
        Unknown(),
        ClaimUnavailable('outage', 2),
    ],
)
def test_messages_between_hosts_keep_their_kind(message):
    encoded = coordination.encode_claim_message(message)
    assert coordination.decode_claim_message(encoded) == message


async def test_large_body_is_stored_as_its_hash_only():
    journals = Journals(body_limit_bytes=3)
    async with journals.journal('a#1') as one:
        first = await journals.run_all(one.claim('team', 'key', 'print'))
        await journals.run_all(one.complete(first.ticket, OUTCOME))
        kept = await journals.run_all(one.claim('team', 'key', 'print'))
    assert kept.outcome.body is None
    assert kept.outcome.body_sha256 == OUTCOME.body_sha256
