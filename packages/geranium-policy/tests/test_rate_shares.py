"""Hosts that divide the request rate of a target among themselves."""

import random

import pytest
from geranium_policy.rate_shares import (
    RatePermits,
    RateShareSettings,
    share_per_s,
    sharing_hosts,
)

SETTINGS = RateShareSettings()
WINDOW_S = 4
TOLERANCE = 1.5  # of a window's requests, and five more
TOLERATED = 5
DURATION_S = 40
STEP_S = 0.01
CALLS_PER_S = 40  # to one target, at all hosts together


def names(count: int) -> list[str]:
    return [f'host-{number}' for number in range(count)]


def near(hosts: list[str]) -> dict[str, bool]:
    return dict.fromkeys(hosts, True)


def shares(rate_per_s: float, hosts: list[str]) -> list[float]:
    return [
        share_per_s(rate_per_s, 'target', own, near(hosts), SETTINGS)
        for own in hosts
    ]


def replay(rate_per_s: float, hosts: int, calls_per_s: float) -> list[float]:
    """Return when requests are sent while callers come at every host."""
    source = random.Random(7)
    permits = []
    for share in shares(rate_per_s, names(hosts)):
        permits.append(RatePermits(SETTINGS.burst_s, 0))
        permits[-1].set_rate(share, 0)
    sent = []
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for own in permits:
            calls = source.random() < calls_per_s * STEP_S
            if calls and own.take(now):
                sent.append(now)
    return sent


def most_in_a_window(sent: list[float]) -> int:
    return max(
        sum(start <= at < start + WINDOW_S for at in sent) for start in sent
    )


@pytest.mark.parametrize('hosts', [1, 9, 195, 470])
@pytest.mark.parametrize('rate_per_s', [0.3, 1, 1.9, 7.5, 60])
def test_hosts_together_keep_to_the_rate_and_use_it(
    rate_per_s: float, hosts: int
) -> None:
    """A target in need while callers press on all hosts."""
    sent = replay(rate_per_s, hosts, calls_per_s=20)

    allowed = TOLERANCE * WINDOW_S * rate_per_s + TOLERATED
    assert most_in_a_window(sent) <= allowed
    offered_per_s = min(rate_per_s, 20 * hosts)
    assert len(sent) >= offered_per_s * DURATION_S / 2


def replay_passed_on(rate_per_s: float, hosts: int) -> list[float]:
    """Return when requests are sent that come to hosts at random.

    A host without a share passes its requests on to one that has one.
    """
    source = random.Random(7)
    everyone = names(hosts)
    holders = sharing_hosts(rate_per_s, 'target', near(everyone), SETTINGS)
    permits_by_host = {}
    for holder in holders:
        permits_by_host[holder] = RatePermits(SETTINGS.burst_s, 0)
        permits_by_host[holder].set_rate(rate_per_s / len(holders), 0)
    sent = []
    now = source.expovariate(CALLS_PER_S)
    while now < DURATION_S:
        own = source.choice(everyone)
        if own not in permits_by_host:
            own = source.choice(holders)
        if permits_by_host[own].take(now):
            sent.append(now)
        now += source.expovariate(CALLS_PER_S)
    return sent


@pytest.mark.parametrize('hosts', [9, 60, 195])
@pytest.mark.parametrize('rate_per_s', [0.5, 2, 10, 20])
def test_limit_is_used_though_callers_come_to_other_hosts(
    rate_per_s: float, hosts: int
) -> None:
    """Few callers come to the hosts with a share in a large fleet."""
    sent = replay_passed_on(rate_per_s, hosts)

    allowed = TOLERANCE * WINDOW_S * rate_per_s + TOLERATED
    assert most_in_a_window(sent) <= allowed
    assert len(sent) >= rate_per_s * DURATION_S / 2


@pytest.mark.parametrize('hosts', [1, 9, 195])
@pytest.mark.parametrize('rate_per_s', [0.3, 1, 7.5, 600])
def test_shares_add_up_to_the_rate(rate_per_s: float, hosts: int) -> None:
    divided = shares(rate_per_s, names(hosts))

    assert sum(divided) == pytest.approx(rate_per_s)
    least = min(share for share in divided if share)
    assert least >= min(rate_per_s, SETTINGS.min_share_per_s)


def test_another_target_is_left_to_other_hosts() -> None:
    hosts = names(50)
    chosen = {
        next(
            own
            for own in hosts
            if share_per_s(1, f'target-{number}', own, near(hosts), SETTINGS)
        )
        for number in range(20)
    }

    assert len(chosen) > 1


def test_share_of_a_host_that_is_gone_passes_to_another() -> None:
    hosts = names(9)
    first = next(
        own
        for own in hosts
        if share_per_s(1, 'target', own, near(hosts), SETTINGS)
    )
    hosts.remove(first)

    assert sum(shares(1, hosts)) == pytest.approx(1)


def test_no_request_is_allowed_before_the_first_interval() -> None:
    permits = RatePermits(SETTINGS.burst_s, 0)
    permits.set_rate(0.5, 0)

    assert not permits.take(1)
    assert permits.next_at(1) == pytest.approx(2)
    assert permits.take(2)
    assert not permits.take(2)


def test_host_without_a_share_gets_no_permit() -> None:
    permits = RatePermits(SETTINGS.burst_s, 0)
    permits.set_rate(1, 0)
    permits.set_rate(0, 10)

    assert permits.next_at(20) is None
    assert not permits.take(20)


def test_rate_of_nothing_still_shows_when_a_target_recovers() -> None:
    assert sum(shares(0, names(9))) == SETTINGS.min_rate_per_s


@pytest.mark.parametrize(
    ('rate_per_s', 'near_count', 'far_count'),
    [(1, 1, 0), (2.5, 2, 0), (5, 3, 2)],
)
def test_hosts_near_the_target_get_its_shares_first(
    rate_per_s: float, near_count: int, far_count: int
) -> None:
    near_hosts = dict.fromkeys(names(3), True)
    hosts = {**dict.fromkeys(names(9), False), **near_hosts}

    chosen = [
        is_near
        for own, is_near in hosts.items()
        if share_per_s(rate_per_s, 'target', own, hosts, SETTINGS)
    ]

    assert chosen.count(True) == near_count
    assert chosen.count(False) == far_count
