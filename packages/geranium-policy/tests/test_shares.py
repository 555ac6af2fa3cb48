"""A team gets a single share regardless of the number of daemons it calls."""

import pytest
from geranium_policy.admission import Fleet
from geranium_policy.admission_settings import FairShares, FirstCome
from geranium_policy.consumption import (
    ConsumptionReport,
    ConsumptionSettings,
    LocalConsumption,
    TeamConsumption,
)
from geranium_policy.peer_consumption import PeerConsumption
from geranium_policy.windows import Claim, daemon_window, max_min_shares
from hypothesis import given, settings
from hypothesis import strategies as st

CLAIMS = st.lists(
    st.builds(Claim, st.floats(0.1, 10), st.floats(0, 1000)),
    min_size=1,
    max_size=12,
)
FLEET = Fleet(engines=18, daemons=9)
SERVED = st.dictionaries(
    st.sampled_from('abcdef'),
    st.integers(0, 100),
    max_size=6,
)

BACKLOGS = st.lists(SERVED, min_size=1, max_size=5)
PERIODS = st.tuples(SERVED, st.booleans())


class Host:
    """A daemon whose requests end within the second in which they start."""

    def __init__(self, queue, served):
        self.queue = queue
        self._served = served

    def serve(self, now):
        profiles = []
        entry = self.queue.release(now)
        while entry is not None:
            profiles.append(entry.profile)
            entry = self.queue.release(now)
        for profile in profiles:
            self._served[profile.team] += 1
            tokens = profile.prompt_tokens
            self.queue.complete(profile.request_id, tokens, 0)


def exchange(hosts, now):
    reports = [host.queue.rebalance(FLEET, now) for host in hosts]
    for host in hosts:
        for other, report in zip(hosts, reports, strict=True):
            if other is not host:
                host.queue.apply(report, now)


@pytest.mark.parametrize(
    ('policy', 'share'),
    [
        (FairShares(), 0.5),
        (FairShares(across_daemons=False), 0.5 / 9),
        (FirstCome(), 0),
    ],
)
def test_team_on_all_hosts_gets_one_share_only_across_daemons(
    make_queue,
    make_entry,
    policy,
    share,
):
    """One team floods nine hosts, the other has requests on the first only."""
    served = {'printers': 0, 'couples': 0}
    hosts = [
        Host(make_queue(policy, f'host-{number}'), served)
        for number in range(9)
    ]
    for host in hosts:
        for _ in range(300):
            host.queue.offer(make_entry('printers'), 0)
    for _ in range(300):
        hosts[0].queue.offer(make_entry('couples'), 0)
    for second in range(20):
        exchange(hosts, second)
        for host in hosts:
            host.serve(second)
    achieved = served['couples'] / sum(served.values())
    assert achieved == pytest.approx(share, abs=0.05)


@given(CLAIMS, st.floats(0, 3000))
@settings(derandomize=True, deadline=None)
def test_max_min_shares_are_fair_and_use_all_capacity(claims, capacity):
    shares = max_min_shares(claims, capacity)
    demand = sum(claim.demand for claim in claims)
    assert sum(shares) == pytest.approx(min(capacity, demand))
    pairs = list(zip(claims, shares, strict=True))
    most = max(share / claim.weight for claim, share in pairs)
    for claim, share in pairs:
        assert share <= claim.demand
        met = share >= claim.demand * 0.999
        assert met or share / claim.weight >= most * 0.999


def report_of(daemon, **backlog_by_team):
    return ConsumptionReport(
        daemon,
        {
            team: TeamConsumption(0, backlog)
            for team, backlog in backlog_by_team.items()
        },
        TeamConsumption(),
        0,
    )


@given(BACKLOGS, st.floats(1, 500))
@settings(derandomize=True, deadline=None)
def test_windows_of_all_daemons_add_up_to_the_capacity(backlogs, capacity):
    reports = [
        report_of(f'host-{number}', **backlog)
        for number, backlog in enumerate(backlogs)
    ]
    total = 0
    for own in reports:
        peers = [report for report in reports if report is not own]
        total += daemon_window(own, peers, {}, capacity)
    assert total == pytest.approx(capacity)


@given(st.lists(PERIODS, max_size=20))
@settings(derandomize=True, deadline=None)
def test_later_report_includes_the_cost_of_lost_reports(periods):
    own = LocalConsumption('host-1', ConsumptionSettings())
    peers = PeerConsumption(ConsumptionSettings())
    peers.apply(own.report({}, {}), now=0)
    expected = dict.fromkeys('abcdef', 0)
    counted = dict.fromkeys('abcdef', 0)
    periods.append((dict.fromkeys('abcdef', 0), False))
    for served_by_team, lost in periods:
        for team, cost in served_by_team.items():
            own.record(team, cost)
            expected[team] += cost
        report = own.report({}, {})
        if lost:
            continue
        for team, cost in peers.apply(report, 1).served_by_team.items():
            counted[team] += cost
    assert counted == expected


def test_small_teams_are_reported_as_a_sum():
    own = LocalConsumption('host-1', ConsumptionSettings(max_large_teams=2))
    for number in range(10):
        own.record(f'team-{number}', number)
    report = own.report({}, {})
    assert set(report.large_by_team) == {'team-8', 'team-9'}
    assert (report.tail.served, report.tail_teams) == (28, 8)


def test_refunded_cost_never_decreases_a_count():
    own = LocalConsumption('host-1', ConsumptionSettings())
    counts = []
    for cost in (100, -60, 20, 50):
        own.record('a', cost)
        counts.append(own.report({}, {}).large_by_team['a'].served)
    assert counts == [100, 100, 100, 110]


def test_restarted_peer_is_counted_from_zero():
    peers = PeerConsumption(ConsumptionSettings())
    for served in (1000, 1500, 40):
        report = ConsumptionReport(
            'host-1',
            {'a': TeamConsumption(served)},
            TeamConsumption(),
            0,
        )
        last = peers.apply(report, now=0)
    assert last.served_by_team == {'a': 40}


def test_reports_of_silent_peers_expire(make_queue):
    queue, peer = make_queue(), make_queue(daemon='host-2')
    queue.apply(peer.rebalance(FLEET, 0), now=0)
    peers = PeerConsumption(ConsumptionSettings(peer_timeout_s=3))
    peers.apply(peer.rebalance(FLEET, 0), now=0)
    assert len(list(peers.reports(now=2))) == 1
    assert not list(peers.reports(now=3))
