"""A withdrawn key is refused within seconds; other keys stay admitted."""

import collections
import dataclasses
import functools

import geranium_coordination as coordination
import pytest
from geranium_coordination import (
    AnnouncementError,
    ConfigurationReplica,
    Fresh,
    FreshnessReport,
    HeldWithdrawal,
    PendingWithdrawal,
    Stale,
)
from hypothesis import given, settings, strategies

from .withdrawal_network import (
    HOSTS,
    KEYS,
    PLATFORM_LINKS,
    Admitted,
    Network,
    late_admissions,
    links_around,
    version_without,
)

SEEDS = strategies.integers(min_value=0, max_value=10**6)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(seed=SEEDS)
def test_withdrawn_key_is_refused_within_the_limit(seed):
    assert not Network(seed).run()


def test_most_networks_accept_withdrawals_and_admit_other_keys():
    accepted = 0
    lasting = 0
    for seed in range(20):
        network = Network(seed)
        network.run()
        accepted += len(network.accepted_at_by_key)
        lasting += sum(item.key == KEYS[0] for item in network.admissions)
    assert accepted > 30
    assert lasting > 20 * 5 * 45


def admitting_hosts(network, start, end):
    """Return the number of admitting polls per host between the instants."""
    return collections.Counter(
        admission.host
        for admission in network.admissions
        if admission.key == KEYS[0] and start <= admission.at < end
    )


def test_all_hosts_admit_while_nothing_fails():
    network = Network(1, script=lambda _: None)
    network.run()
    admitted = admitting_hosts(network, 10, 60)
    assert all(admitted[host] >= 49 for host in HOSTS)


def test_connected_hosts_admit_during_an_outage():
    def script(network):
        network.at(30, lambda: network.cut_links.update(PLATFORM_LINKS))

    network = Network(1, script)
    network.run()
    admitted = admitting_hosts(network, 35, 85)
    assert all(admitted[host] >= 49 for host in HOSTS)


def test_hosts_restarted_during_an_outage_admit_nothing():
    def script(network):
        network.at(30, lambda: network.cut_links.update(PLATFORM_LINKS))
        for host in HOSTS[:3]:
            network.at(40, functools.partial(network.restart, host))

    network = Network(1, script)
    network.run()
    assert not admitting_hosts(network, 50, 85)


def test_host_cut_off_from_platform_and_most_peers_stops():
    def script(network):
        links = links_around(HOSTS[:2])
        network.at(30, lambda: network.cut_links.update(links))

    network = Network(1, script)
    network.run()
    admitted = admitting_hosts(network, 35, 85)
    assert set(admitted) == set(HOSTS[2:])


def accept_unannounced(patch):
    def suspend_keys(self, pending, age_s=0):
        return True

    patch.setattr(ConfigurationReplica, 'suspend_keys', suspend_keys)


def count_from_the_response(patch):
    merge_report = ConfigurationReplica.merge_report
    confirm = ConfigurationReplica.confirm

    def late_merge(self, report, sent_at):
        merge_report(self, report, self._clock.now())

    def late_confirm(self, version, sent_at):
        confirm(self, version, max(sent_at, self._clock.now()))

    patch.setattr(ConfigurationReplica, 'merge_report', late_merge)
    patch.setattr(ConfigurationReplica, 'confirm', late_confirm)


def ignore_age_of_relayed_confirmations(patch):
    merge_report = ConfigurationReplica.merge_report

    def merge_without_age(self, report, sent_at):
        if report.store_age_s is not None:
            report = dataclasses.replace(report, store_age_s=0)
        merge_report(self, report, sent_at)

    patch.setattr(ConfigurationReplica, 'merge_report', merge_without_age)


def vote_immediately(patch):
    patch.setattr(coordination.freshness.Confirmations, 'votes', True)


def accept_any_response_as_majority(patch):
    def any_response(self, now, votes):
        return max(self._responded_at_by_host.values(), default=None)

    patch.setattr(
        coordination.freshness.Quorum, 'majority_responded_at', any_response
    )


@pytest.mark.parametrize(
    'mutant',
    [
        accept_unannounced,
        count_from_the_response,
        ignore_age_of_relayed_confirmations,
        vote_immediately,
        accept_any_response_as_majority,
    ],
)
def test_checker_catches_the_mutant(mutant, monkeypatch):
    mutant(monkeypatch)
    assert any(Network(seed).run() for seed in range(300))


def test_checker_distinguishes_late_from_timely_admissions():
    timely = Admitted('host-1', KEYS[1], 13.9)
    late = Admitted('host-1', KEYS[1], 14.1)
    other = Admitted('host-1', KEYS[2], 14.1)
    found = late_admissions({KEYS[1]: 10}, [timely, late, other])
    assert found == [late]


class ManualClock:
    def __init__(self) -> None:
        self.instant = float(0)

    def now(self):
        return self.instant

    async def sleep_until(self, instant):
        self.instant = instant


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def replica(clock):
    made = ConfigurationReplica('host-0', None, clock)
    made.update_voters(HOSTS)
    made.apply(version_without(2, frozenset()))
    return made


def test_replica_is_stale_until_the_store_confirms(replica):
    assert replica.admission(0) == Stale(None)
    replica.confirm(2, sent_at=1)
    assert replica.admission(2) == Fresh(until=5)
    assert replica.admission(5) == Stale(since=5)


def test_higher_version_at_the_store_confirms_nothing(replica):
    replica.confirm(3, sent_at=1)
    assert replica.admission(1) == Stale(None)


def test_peers_confirmation_keeps_its_age(replica):
    report = FreshnessReport('host-1', 2, store_age_s=2.5)
    replica.merge_report(report, sent_at=10)
    assert replica.admission(10) == Fresh(until=11.5)


def test_lower_version_is_never_applied(replica):
    assert not replica.apply(version_without(1, frozenset()))
    assert replica.version == 2


def test_majority_of_voters_replaces_the_store(replica, clock):
    clock.instant = 30
    replica.confirm(2, sent_at=25)
    for host in HOSTS[1:3]:
        assert isinstance(replica.admission(30), Stale)
        replica.merge_report(FreshnessReport(host, 2, votes=True), sent_at=29)
    assert replica.admission(30) == Fresh(until=33)


def test_reported_withdrawal_is_held_until_it_is_decided(replica, clock):
    pending = PendingWithdrawal('op', 2, (KEYS[0],))
    report = FreshnessReport(
        'host-1', 2, withdrawals=(HeldWithdrawal(pending, 5),)
    )
    replica.merge_report(report, sent_at=0)
    assert replica.is_suspended(KEYS[0])
    replica.confirm(2, sent_at=15)
    assert replica.is_suspended(KEYS[0])
    replica.confirm(2, sent_at=15.1)
    assert not replica.is_suspended(KEYS[0])


def test_next_version_ends_a_withdrawal(replica):
    replica.suspend_keys(PendingWithdrawal('op', 2, (KEYS[0],)))
    replica.apply(version_without(3, frozenset()))
    assert not replica.is_suspended(KEYS[0])


async def test_announcement_needs_a_majority():
    pending = PendingWithdrawal('op', 2, (KEYS[0],))

    async def send(host, announced):
        if host == 'host-0':
            raise ConnectionError(host)
        return host in voters

    voters = {'host-1', 'host-2', 'host-3'}
    await coordination.announce_to_voters(pending, HOSTS, send, timeout_s=60)
    voters.remove('host-1')
    with pytest.raises(AnnouncementError):
        await coordination.announce_to_voters(
            pending, HOSTS, send, timeout_s=60
        )


async def test_waiting_for_a_version_ends_with_it(replica):
    replica.apply(version_without(5, frozenset()))
    assert (await replica.wait_for(4)).version == 5
