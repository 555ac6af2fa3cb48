"""Requests of all hosts together stay within the limits of teams."""

import math

from geranium_policy.team_quotas import (
    Debit,
    Delegation,
    DelegationHeard,
    HostName,
    OverLimit,
    QuotaAccount,
    QuotaAsk,
    QuotaBroker,
    QuotaLimit,
    QuotaMember,
    QuotaSettings,
    TeamAsks,
)
from hypothesis import example, given, settings
from hypothesis import strategies as st

from .quota_hosts import TEAM, QuotaHosts

LIMIT = QuotaLimit(100, 100)
TOKENS = QuotaLimit(10_000, 10_000, in_tokens=True)
HOSTS = 5
STEPS = 12  # of a second
# Short grants make the bound tight: what accrued before a window and is
# spent in it hides a share that is spent twice.
TIGHT = QuotaSettings(max_grant_s=0.1)


def set_loss(world: QuotaHosts, loss: float) -> None:
    world.loss = loss
    world.repeats = loss


def heal(world: QuotaHosts) -> None:
    world.sides.clear()
    set_loss(world, 0)


def restart_all(world: QuotaHosts) -> None:
    for number in range(HOSTS):
        world.restart(number)


ACTIONS_BY_FAULT = {
    'kill': QuotaHosts.kill,
    'freeze': QuotaHosts.freeze,
    'thaw': QuotaHosts.thaw,
    'cut': QuotaHosts.cut,
    'heal': lambda world, _: heal(world),
    'restart': QuotaHosts.restart,
    'restart all': lambda world, _: restart_all(world),
    'lose': lambda world, _: set_loss(world, 0.4),
    'rest': lambda *_: None,
}


def send_everywhere(world: QuotaHosts, seconds: float) -> None:
    """Send many times the limit to all hosts."""
    for _ in range(int(seconds * STEPS)):
        for sender in range(HOSTS):
            for _ in range(12):
                world.request(sender, 1)
        world.advance(1 / STEPS)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(sorted(ACTIONS_BY_FAULT)),
            st.integers(0, HOSTS - 1),
            st.sampled_from((0.1, 0.5, 1.1, 3)),
        ),
        max_size=10,
    ),
    st.integers(0, 1000),
)
@example([('freeze', 0, 3), ('thaw', 0, 1.1)], 0)
@example([('cut', 0, 0.5), ('heal', 0, 0.5)], 0)
@example([('kill', 0, 3), ('restart all', 0, 3)], 0)
@settings(max_examples=80, deadline=None)
def test_no_faults_let_hosts_exceed_the_bound(faults, seed) -> None:
    """A share is spent at two brokers, or by a host and its broker."""
    world = QuotaHosts(HOSTS, LIMIT, TIGHT, seed)
    world.advance(3)
    faults.append(('heal', 0, 3))
    for fault, number, pause_s in faults:
        ACTIONS_BY_FAULT[fault](world, number)
        if fault == 'rest':
            world.advance(pause_s)
        else:
            send_everywhere(world, pause_s)

    in_window = LIMIT.rate_per_s * (TIGHT.window_s + TIGHT.grant_s)
    assert world.worst_window() <= in_window + LIMIT.burst


def serve_evenly(world: QuotaHosts, seconds: float, rate: float) -> None:
    """Send requests to two hosts only."""
    for _ in range(int(seconds * 10)):
        for number in (1, 2):
            for _ in range(int(rate / 20)):
                world.request(number, 1)
        world.advance(0.1)


def test_one_host_may_use_what_the_others_leave() -> None:
    """Static shares refuse a team within its limit at a single host."""
    world = QuotaHosts(HOSTS, LIMIT)
    world.advance(3)
    serve_evenly(world, 10, 90)

    assert not world.refused


def test_limit_is_served_under_six_times_the_demand() -> None:
    """Tokens lapse in reserves while requests are refused."""
    world = QuotaHosts(HOSTS, LIMIT)
    world.advance(3)
    since = world.now
    serve_evenly(world, 20, 600)

    assert world.served(since) >= 0.9 * LIMIT.rate_per_s * 20


def test_death_of_the_broker_costs_a_few_seconds() -> None:
    """Hosts go on asking a broker that is dead."""
    world = QuotaHosts(HOSTS, LIMIT)
    world.advance(3)
    world.kill(0)
    world.advance(2.5)
    since = world.now
    serve_evenly(world, 10, 200)

    # The dead host's share is lost while it is counted.
    assert world.served(since) >= 0.95 * 0.8 * LIMIT.rate_per_s * 10


def test_lower_limit_binds_within_a_window() -> None:
    """Grants and levels of the old limit last beyond a window."""
    world = QuotaHosts(HOSTS, LIMIT)
    world.advance(3)
    serve_evenly(world, 4, 200)
    world.limit_to(QuotaLimit(20, 10))
    since = world.now + 1
    serve_evenly(world, 12, 200)

    assert world.worst_window(since) <= 1.1 * (20 * 8 + 10)


def test_woken_broker_ignores_delegations_of_its_frozen_time() -> None:
    """Delegations that waited in the socket are taken for new ones."""
    broker = QuotaMember(HostName('a', 7), QuotaSettings(), 100)
    broker.apply({TEAM: LIMIT}, 100)
    broker.receive(HostName('b', 1), Delegation(1, 7, 100), 120)

    assert broker.broker.share == 0


def test_delegation_to_an_earlier_process_is_not_used() -> None:
    """The clock of a replaced machine may show any time."""
    broker = QuotaMember(HostName('a', 8), QuotaSettings(), 100)
    broker.apply({TEAM: LIMIT}, 100)
    broker.receive(HostName('b', 1), Delegation(1, 7, 100), 100)

    assert broker.broker.share == 0


def test_host_keeps_its_broker_until_the_delegation_ends() -> None:
    """A share is delegated to the next broker while the first has it."""
    host = QuotaMember(HostName('c', 1), QuotaSettings(), 0)
    host.tick(('a', 'b'), 0.5, 0)
    sent = host.receive(HostName('a', 7), DelegationHeard(50), 0.1)
    host.tick(('b',), 0.5, 1.0)
    early = host.choice.broker
    host.tick(('b',), 0.5, 1.2)

    assert sent == Delegation(0.5, 7, 50)
    assert (early, host.choice.broker) == ('a', 'b')


def test_leaving_host_withdraws_its_share_from_itself() -> None:
    """A host that is its own broker spends a share that others divide."""
    host = QuotaMember(HostName('a', 1), QuotaSettings(), 0)
    host.tick((), 1, 0)
    host.tick((), 0, 1)

    assert host.broker.share == 0


def test_shares_beyond_the_whole_are_not_used() -> None:
    """Hosts that know different numbers of hosts add up to too much."""
    broker = QuotaBroker(QuotaSettings(), 0)
    for host in ('a', 'b', 'c'):
        broker.delegate(host, 0.5, 10, 0)

    assert broker.share == 1


def test_moved_share_brings_no_old_tokens() -> None:
    """An idle bucket at its capacity gains from a share for past time."""
    broker = QuotaBroker(QuotaSettings(), 0)
    broker.apply({TEAM: LIMIT}, 0, filled=False)
    broker.delegate('a', 0.5, math.inf, 0)
    broker.delegate('b', 0.5, math.inf, 60)
    ask = QuotaAsk(1, TEAM, (1,) * 100, 0)
    answer = broker.answer('x', ask, 60)

    assert answer.granted == 50


def test_repeated_ask_gets_the_stored_answer() -> None:
    """A repeated datagram takes tokens twice."""
    broker = QuotaBroker(QuotaSettings(), 0)
    broker.apply({TEAM: LIMIT}, 0, filled=False)
    broker.delegate('a', 1, math.inf, 0)
    ask = QuotaAsk(1, TEAM, (60,), 0)
    first = broker.answer('x', ask, 10)

    other = QuotaAsk(2, TEAM, (40,), 0)

    assert broker.answer('x', ask, 10) is first
    assert broker.answer('x', other, 10).granted == 40


def test_large_requests_of_a_team_at_its_limit_run() -> None:
    """Small requests take the tokens for which a large one would wait."""
    broker = QuotaBroker(QuotaSettings(max_debt=50), 0)
    broker.apply({TEAM: LIMIT}, 0, filled=False)
    broker.delegate('a', 1, math.inf, 0)
    asks = (QuotaAsk(number, TEAM, (40,), 0) for number in range(3))
    granted = [broker.answer('x', ask, 0.1).granted for ask in asks]
    after = broker.answer('x', QuotaAsk(4, TEAM, (70,), 0), 0.5)

    assert granted == [40, 0, 0]
    assert after.granted == 0


def test_refused_requests_return_one_after_the_other() -> None:
    """All refused callers come back at the same moment."""
    broker = QuotaBroker(QuotaSettings(), 0)
    broker.apply({TEAM: LIMIT}, 0, filled=False)
    broker.delegate('a', 1, math.inf, 0)
    first = broker.answer('x', QuotaAsk(1, TEAM, (10,), 0), 0)
    second = broker.answer('y', QuotaAsk(1, TEAM, (20,), 0), 0)

    assert (first.retry_from_s, first.retry_until_s) == (0.1, 0.2)
    assert second.retry_from_s == first.retry_until_s


def test_tokens_of_a_request_that_did_not_run_keep_their_end() -> None:
    """Tokens that are given back become usable without end."""
    account = QuotaAccount(QuotaSettings(), 0)
    account.add(10, 1, 0)
    debit = account.take(10, 0.5)
    assert debit == Debit(10, 1)
    account.give_back(debit, 0.6)

    assert account.balance(0.6) == 10
    assert account.balance(1) == 0
    assert account.counts.lapsed == 10


def test_request_does_not_overtake_those_that_wait() -> None:
    """A small request takes the tokens that a large one has asked for."""
    host = QuotaMember(HostName('b', 1), QuotaSettings(), 0)
    host.apply({TEAM: TOKENS}, 0)
    host.tick(('a',), 0.5, 0)
    decisions = []
    team_asks = TeamAsks(
        TEAM, host, lambda *_: None, lambda *one: decisions.append(one)
    )
    assert team_asks.request(500, 'large', 0) is None
    host.accounts_by_team[TEAM].add(10, 1, 0)
    assert team_asks.request(10, 'small', 0) is None
    team_asks.expire(0.07)
    team_asks.expire(0.14)

    assert [waiter for waiter, _ in decisions] == ['large', 'small']
    assert isinstance(decisions[0][1], OverLimit)


def test_added_limit_spares_the_time_in_which_hosts_learn_of_it() -> None:
    """A team is refused by a broker that has an older configuration."""
    host = QuotaMember(HostName('a', 1), QuotaSettings(), 0)
    host.apply({}, 0)
    host.apply({TEAM: LIMIT}, 10)
    account = host.accounts_by_team[TEAM]

    assert account.is_free(11)
    assert not account.is_free(12)
