"""Limits that targets name for the requests of all hosts together."""

import dataclasses
import itertools

import geranium_relay as relay
import pytest
from geranium_relay import target_selector

from .test_peer_updates import make_update
from .world import EVENTS, World, answer

KEY = 't0@1'
LIMIT_PER_S = 1
WINDOW_S = 4
ALLOWED = 11  # half as many again as the limit allows in a window, and five
CALL_INTERVAL_S = 0.05  # interval of the callers' requests at each host
UPDATE_INTERVAL_S = 0.2
PROMPT = relay.Prompt(10, 3, (relay.PromptPart('p', 10),))


@dataclasses.dataclass(slots=True)
class FakeClock:
    now_s: float = 1000

    def now(self) -> float:
        return self.now_s


class Fleet:
    """Limits on some hosts that exchange what they advertise."""

    def __init__(self, count: int) -> None:
        self.clock = FakeClock()
        self.names = {f'host-{number}' for number in range(count)}
        self.limits_by_host = {
            name: self._make_limits(name) for name in sorted(self.names)
        }

    def exchange(self) -> None:
        """Let every host receive what the others know."""
        for sender, limits in self.limits_by_host.items():
            receivers = {**self.limits_by_host}
            receivers.pop(sender)
            for limit, receiver in itertools.product(
                limits.advertised(), receivers.values()
            ):
                receiver.record_peer_limit(KEY, limit, sender)

    def record(self, host: str, per_s: float | None) -> None:
        """Let a host get a response that names a limit, or none."""
        notice = relay.RateLimitNotice(per_s, self.clock.now())
        self.limits_by_host[host].record(KEY, notice)

    def replay(self, duration_s: float) -> list[float]:
        """Return when requests are sent while callers press on all hosts."""
        sent = []
        until = self.clock.now_s + duration_s
        update_at = self.clock.now_s
        while self.clock.now_s < until:
            self.clock.now_s += CALL_INTERVAL_S
            if self.clock.now_s >= update_at:
                update_at += UPDATE_INTERVAL_S
                self.exchange()
            for host, limits in self.limits_by_host.items():
                if limits.accepts_request(KEY) and limits.take(KEY):
                    sent.append(self.clock.now_s)
                    self.record(host, LIMIT_PER_S)
        return sent

    def _make_limits(self, host: str) -> relay.TargetRateLimits:
        now = self.clock.now
        log = relay.DecisionLog(relay.LogSettings(), str, now)
        return relay.TargetRateLimits(
            host, lambda _key: dict.fromkeys(self.names, True), now, now, log
        )


@pytest.mark.parametrize('hosts', [1, 9, 60])
def test_hosts_together_send_no_more_than_the_limit(hosts: int) -> None:
    """A target in need while callers press on all hosts."""
    fleet = Fleet(hosts)
    fleet.record('host-0', LIMIT_PER_S)
    fleet.exchange()

    sent = fleet.replay(30)

    assert len(sent) >= 30 * LIMIT_PER_S / 2
    for start in sent:
        window = [at for at in sent if start <= at < start + WINDOW_S]
        assert len(window) <= ALLOWED


def test_host_that_sends_nothing_learns_of_the_end_of_a_limit() -> None:
    fleet = Fleet(2)
    fleet.record('host-0', LIMIT_PER_S)
    fleet.exchange()
    other = fleet.limits_by_host['host-1']
    assert other.limited_count == 1

    fleet.clock.now_s += 1
    fleet.record('host-0', None)
    fleet.exchange()

    assert other.limited_count == 0
    assert other.accepts_request(KEY)


def test_outdated_update_does_not_restore_a_lifted_limit() -> None:
    fleet = Fleet(2)
    fleet.record('host-0', LIMIT_PER_S)
    outdated = fleet.limits_by_host['host-0'].advertised()
    fleet.clock.now_s += 1
    fleet.record('host-0', None)
    fleet.exchange()

    for limits in fleet.limits_by_host.values():
        for limit in outdated:
            limits.record_peer_limit(KEY, limit, 'host-9')

    assert fleet.limits_by_host['host-0'].limited_count == 0


def test_response_to_an_earlier_request_does_not_lift_a_limit() -> None:
    fleet = Fleet(1)
    limits = fleet.limits_by_host['host-0']
    sent_at = fleet.clock.now()
    fleet.clock.now_s += 1
    fleet.record('host-0', LIMIT_PER_S)

    limits.record(KEY, relay.RateLimitNotice(None, sent_at))

    assert limits.limited_count == 1


def test_aggregator_passes_on_a_limit_that_a_peer_has_sent() -> None:
    fleet = Fleet(2)
    fleet.record('host-0', LIMIT_PER_S)
    fleet.exchange()

    passed_on = fleet.limits_by_host['host-1'].advertised()

    assert passed_on == fleet.limits_by_host['host-0'].advertised()


@pytest.mark.parametrize('per_s', [1.005, 1.4, 1.23456, 1 / 3, 4e9])
def test_all_hosts_know_the_same_limit(per_s: float) -> None:
    fleet = Fleet(1)
    fleet.record('host-0', per_s)
    advertised = fleet.limits_by_host['host-0'].advertised()

    update = make_update(rate_limits=advertised)
    received = relay.decode_peer_update(relay.encode_peer_update(update))

    assert received.rate_limits == advertised


def test_restarted_target_is_not_limited() -> None:
    fleet = Fleet(1)
    fleet.record('host-0', LIMIT_PER_S)
    limits = fleet.limits_by_host['host-0']

    limits.remove_target(KEY)

    assert limits.accepts_request(KEY)
    assert limits.limited_count == 0


async def test_prefill_counts_against_the_limit_of_its_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(answer(*EVENTS), engines=True)
    world.place_isolated()
    taken: list[str] = []
    monkeypatch.setattr(world.notices.rate_limits, 'take', taken.append)

    await world.serve('resumable', prompt=PROMPT)

    assert taken == ['t1@1', 't0@1']


async def test_request_that_waited_for_its_prefill_needs_another_permit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Prefills that were stalled end together, and so do the waits."""
    world = World(answer(*EVENTS), engines=True)
    world.place_isolated()
    limits = world.notices.rate_limits
    limits.record(world.targets.chosen, relay.RateLimitNotice(LIMIT_PER_S, 0))
    monkeypatch.setattr(target_selector, 'PERMIT_LIFETIME_S', -1)

    outcome, _ = await world.serve('resumable', prompt=PROMPT)

    assert outcome == relay.Delivered(200)
    call = world.targets.calls[0]
    assert call.target.key != world.targets.chosen


@pytest.mark.parametrize('engines', [True, False])
async def test_limited_target_that_others_are_preferred_to_is_checked(
    monkeypatch: pytest.MonkeyPatch, engines: bool
) -> None:
    """Its limit may have ended, and only a response would tell."""
    route = 'resumable' if engines else 'safe'
    world = World(answer(*EVENTS), answer(*EVENTS), engines=engines)
    limits = world.notices.rate_limits
    limits.record(KEY, relay.RateLimitNotice(LIMIT_PER_S, 0))
    monkeypatch.setattr(limits, 'is_due', lambda key: key == KEY)
    monkeypatch.setattr(limits, 'accepts_request', lambda key: True)
    busy = relay.Dispatch(KEY, 0, 500, world.clock.now(), 0.1)

    with world.loads.counted(busy):
        await world.serve(route, prompt=PROMPT if engines else None)

    assert [call.target.key for call in world.targets.calls] == [KEY]


def test_limit_is_checked_once_nobody_has_seen_it_for_a_while() -> None:
    fleet = Fleet(1)
    limits = fleet.limits_by_host['host-0']
    fleet.record('host-0', LIMIT_PER_S)
    assert not limits.accepts_request(KEY)
    assert not limits.is_due(KEY)

    fleet.clock.now_s += 1.1
    assert limits.is_due(KEY)

    fleet.record('host-0', None)
    assert not limits.is_due(KEY)
