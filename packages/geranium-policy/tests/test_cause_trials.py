"""Causes of crashes are tried by one request at a time over all hosts."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import TypeAlias

import pytest
from geranium_policy.crash_causes import (
    CrashCauses,
    CrashCauseSettings,
    RequestFingerprints,
)
from geranium_policy.suspects import (
    CrashNotice,
    SuspectRegister,
    SuspectSettings,
)

PART, OTHER_PART = 7, 8
SETTINGS = CrashCauseSettings()
TRIALS = SETTINGS.trials
MAX_DELAY_S = 1.0  # of notices in a fleet with aggregators
CRASH_S = 0.3  # from the start of a request to the notice of its crash
RUN_S = 3
HOUR_S = 3600
SEEDS = 20
Event: TypeAlias = tuple[float, int, Callable[[], None]]


class Host:
    """The crashes that one host knows, and what it concludes from them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.register = SuspectRegister(SuspectSettings())
        self.causes = CrashCauses(SETTINGS, self.register)


class Fleet:
    """Hosts that get requests with one part and tell each other of crashes."""

    def __init__(self, seed: int, hosts: int, *, harmful: bool) -> None:
        self.now: float = 0
        self.hosts = [Host(f'h{number}') for number in range(hosts)]
        self.crashed_at: list[float] = []
        self.served_at: list[float] = []
        self.trial_at: list[float] = []
        self.running = 0
        self.most_running = 0
        self._harmful = harmful
        self._source = random.Random(seed)
        self._numbers = itertools.count(100)
        self._events: list[Event] = []

    def crash_at_once(self, count: int) -> None:
        """Let targets crash under requests of one host."""
        for number in range(count):
            self._crash(self.hosts[0], self._request(), f'early-{number}')
        self._run_until(MAX_DELAY_S)

    def request_each(self, interval_s: float, until: float) -> None:
        """Let requests come at random hosts until an instant."""
        at = self.now + self._source.uniform(0, interval_s)
        while at < until:
            self._at(at, self._arrive)
            at += self._source.expovariate(1 / interval_s)
        self._run_until(until)

    def _run_until(self, until: float) -> None:
        while self._events and self._events[0][0] < until:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
        self.now = until

    def _request(self) -> RequestFingerprints:
        return RequestFingerprints(next(self._numbers), (PART,))

    def _arrive(self) -> None:
        host = self._source.choice(self.hosts)
        request = self._request()
        if not self._send(host, request):
            self._pass_on(host, request)

    def _pass_on(self, host: Host, request: RequestFingerprints) -> None:
        trial = host.causes.next_trial(request, self.now)
        if trial is None or not trial.is_open:
            return
        if host.causes.trials.may_pass_on(trial, self.now):
            chosen = trial.host(one.name for one in self.hosts)
            self._send(
                next(one for one in self.hosts if one.name == chosen), request
            )

    def _send(self, host: Host, request: RequestFingerprints) -> bool:
        if host.causes.rejects(request, self.now):
            trial = host.causes.next_trial(request, self.now)
            if trial is None or not trial.is_open:
                return False
            if trial.host(one.name for one in self.hosts) != host.name:
                return False
            name = f'{host.name} {request.request}'
            self.trial_at.append(self.now)
            self._tell(host, host.causes.trials.begin(trial, name, self.now))
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        took_s = CRASH_S if self._harmful else RUN_S
        self._at(self.now + took_s, lambda: self._finish(host, request))
        return True

    def _finish(self, host: Host, request: RequestFingerprints) -> None:
        self.running -= 1
        if self._harmful:
            self._crash(host, request, f't{request.request}@1')
        else:
            self.served_at.append(self.now)
            notices = host.causes.record_completion(request, self.now)
            self._tell(host, notices)

    def _crash(
        self, host: Host, request: RequestFingerprints, crash_id: str
    ) -> None:
        self.crashed_at.append(self.now)
        notices = host.causes.record_crash(request, crash_id, self.now)
        self._tell(host, notices)

    def _tell(self, sender: Host, notices: tuple[CrashNotice, ...]) -> None:
        for host in self.hosts:
            if host is not sender:
                delay_s = self._source.uniform(0, MAX_DELAY_S)
                apply = functools.partial(self._apply, host, notices)
                self._at(self.now + delay_s, apply)

    def _apply(self, host: Host, notices: tuple[CrashNotice, ...]) -> None:
        host.register.apply(notices, self.now)

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))


@pytest.mark.parametrize('hosts', [1, 2, 9, 40])
@pytest.mark.parametrize(
    ('crashes', 'pause_s'),
    [(3, TRIALS.first_pause_s), (8, TRIALS.longest_pause_s)],
)
@pytest.mark.parametrize('seed', range(SEEDS))
def test_sound_part_serves_after_one_trial(
    seed: int, pause_s: float, crashes: int, hosts: int
) -> None:
    fleet = Fleet(seed, hosts, harmful=False)
    fleet.crash_at_once(crashes)
    latest = pause_s + TRIALS.turn_s + MAX_DELAY_S + RUN_S

    fleet.request_each(0.5, latest + 60)

    assert len(fleet.trial_at) == 1
    assert fleet.served_at[0] <= latest
    assert sum(at > latest for at in fleet.served_at) > 60


@pytest.mark.parametrize('hosts', [1, 2, 9, 40])
@pytest.mark.parametrize('seed', range(SEEDS))
def test_harmful_part_costs_five_targets_with_its_trials(
    seed: int, hosts: int
) -> None:
    fleet = Fleet(seed, hosts, harmful=True)
    fleet.crash_at_once(SETTINGS.min_crashes)

    fleet.request_each(0.2, TRIALS.longest_pause_s)

    assert len(fleet.crashed_at) == TRIALS.max_crashes
    assert len(fleet.trial_at) == TRIALS.max_crashes - SETTINGS.min_crashes
    assert fleet.most_running == 1


@pytest.mark.parametrize('hosts', [1, 9])
@pytest.mark.parametrize('seed', range(3))
def test_harmful_part_costs_few_targets_in_an_hour(
    seed: int, hosts: int
) -> None:
    """Without trials it costs 36 at least: three whenever evidence lapses."""
    fleet = Fleet(seed, hosts, harmful=True)
    fleet.crash_at_once(SETTINGS.min_crashes)

    fleet.request_each(1, HOUR_S)

    late = HOUR_S / TRIALS.longest_pause_s
    assert len(fleet.crashed_at) <= TRIALS.max_crashes + late
    assert fleet.most_running == 1


def test_request_that_crashed_five_targets_is_not_tried() -> None:
    host = Host('h')
    request = RequestFingerprints(5)
    for number in range(TRIALS.max_crashes):
        host.causes.record_crash(request, f't{number}@1', 0)

    assert host.causes.rejects(request, 800)
    assert host.causes.next_trial(request, 800) is None


def test_request_with_two_causes_is_not_tried() -> None:
    """Its run would tell nothing about one of them."""
    host = Host('h')
    for number in range(3):
        for part in (PART, OTHER_PART):
            request = RequestFingerprints(100 * part + number, (part,))
            host.causes.record_crash(request, f't{request.request}@1', 0)
    both = RequestFingerprints(5, (PART, OTHER_PART))

    assert host.causes.rejects(both, 60)
    assert host.causes.next_trial(both, 60) is None


def test_host_that_missed_a_trial_learns_of_it_from_the_proofs() -> None:
    witness, returned = Host('a'), Host('b')
    for number in range(3):
        request = RequestFingerprints(number, (PART,))
        witness.causes.record_crash(request, f't{number}@1', 0)
    request = RequestFingerprints(5, (PART,))
    trial = witness.causes.next_trial(request, 20)
    assert trial is not None
    witness.causes.trials.begin(trial, 'a 5', 20)

    returned.register.apply(witness.causes.proofs(30), 30)

    later = returned.causes.next_trial(request, 30)
    assert later == witness.causes.next_trial(request, 30)
    assert later is not None
    assert later.due_at == 20 + TRIALS.first_pause_s * TRIALS.pause_factor
