"""Simulates hosts, a platform and the links between them, with faults."""

import dataclasses
import functools
import heapq
import random

from geranium_coordination import (
    ConfigurationReplica,
    Fresh,
    FreshnessSettings,
    LoadedConfiguration,
    PendingWithdrawal,
    manifests,
)
from geranium_model import Configuration, Key

PLATFORM = 'platform'
HOSTS = tuple(f'host-{number}' for number in range(5))
MAJORITY = 3
PLATFORM_LINKS = tuple(frozenset((host, PLATFORM)) for host in HOSTS)
KEYS = tuple(digit * 64 for digit in '0123')
SETTINGS = FreshnessSettings(confirmation_s=4, withdrawal_hold_s=12)
LIMIT_S = 4
CHANGE_TIMEOUT_S = 6
POLL_S = 1
END_S = 90
FIRST_FAULT_S = 20
FAILURE_SHARE = 0.3
RESTART_SHARE = 0.5
PLATFORM_SHARE = 0.5


def links_around(side):
    """Return the links between some nodes and all others."""
    return {
        frozenset((node, other))
        for node in side
        for other in (*HOSTS, PLATFORM)
        if other not in side
    }


def version_without(version: int, withdrawn: frozenset[str]):
    keys = {
        key: Key('key', 'team', key) for key in KEYS if key not in withdrawn
    }
    return LoadedConfiguration(
        manifests.Manifest(version),
        {},
        Configuration(version=version, keys_by_sha256=keys),
    )


@dataclasses.dataclass(frozen=True)
class Admitted:
    host: str
    key: str
    at: float


def late_admissions(accepted_at_by_key, admissions):
    """Return the admissions later than the limit after a withdrawal."""
    return [
        admission
        for admission in admissions
        if admission.at > accepted_at_by_key.get(admission.key, END_S) + LIMIT_S
    ]


class Network:
    """Runs hosts, links and the platform on a simulated clock."""

    def __init__(self, seed: int, script=None) -> None:
        self.script = script
        self.random = random.Random(seed)
        self.versions = [version_without(1, frozenset())]
        self.accepted_at_by_key: dict[str, float] = {}
        self.admissions: list[Admitted] = []
        self.replicas: dict[str, ConfigurationReplica] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.max_delay_s = 0.1
        self._now = float(0)
        self._events: list = []
        self._count = 0

    def now(self) -> float:
        return self._now

    async def sleep_until(self, instant: float) -> None:
        raise NotImplementedError

    def run(self):
        for host in HOSTS:
            self._boot(host)
        if self.script is None:
            self._draw_faults()
            for key in KEYS[1:]:
                self._draw_withdrawal(key)
        else:
            self.script(self)
        while self._events and self._now < END_S:
            instant, _, event = heapq.heappop(self._events)
            self._now = instant
            event()
        return late_admissions(self.accepted_at_by_key, self.admissions)

    def at(self, instant, event):
        self._count += 1
        heapq.heappush(self._events, (instant, self._count, event))

    def restart(self, host: str):
        replica = ConfigurationReplica(host, SETTINGS, self)
        replica.update_voters(HOSTS)
        self.replicas[host] = replica

    def send(self, source, target, event):
        """Run the event at the target unless the link is cut on arrival."""
        link = frozenset((source, target))
        if link not in self.cut_links:
            arrival = self._now + self.random.uniform(0, self.max_delay_s)
            self.at(arrival, lambda: link in self.cut_links or event())

    def commit(self, key: str, base: int) -> bool:
        if len(self.versions) != base:
            return False
        self.accepted_at_by_key[key] = self._now
        gone = frozenset(self.accepted_at_by_key)
        self.versions.append(version_without(base + 1, gone))
        return True

    def fail_voters(self, host: str, acknowledged):
        """At random, fail the voters that a change relies on."""
        restarts = self._occurs(RESTART_SHARE)
        if self._occurs(FAILURE_SHARE):
            for voter in acknowledged - {host}:
                if restarts:
                    self.restart(voter)
            self._cut(links_around((host, PLATFORM)))

    def _boot(self, host: str):
        self.restart(host)
        self.at(self.random.random(), functools.partial(self._poll, host))

    def _occurs(self, share: float) -> bool:
        return self.random.random() < share

    def _draw_withdrawal(self, key: str):
        instant = self.random.uniform(FIRST_FAULT_S, END_S - 20)
        operator = WithdrawalClient(self, self.random.choice(HOSTS), key)
        until = instant + CHANGE_TIMEOUT_S
        self.at(instant, functools.partial(operator.try_once, until))

    def _draw_faults(self):
        for _ in range(self.random.randrange(2, 9)):
            instant = self.random.uniform(FIRST_FAULT_S, END_S)
            fault = self.random.choice(
                (self._cut_hosts, self._cut_platform, self._restart, self._slow)
            )
            self.at(instant, fault)

    def _cut_hosts(self):
        side = self.random.sample(HOSTS, self.random.randrange(1, 3))
        if self._occurs(PLATFORM_SHARE):
            side.append(PLATFORM)
        self._cut(links_around(side))

    def _cut_platform(self):
        self._cut(PLATFORM_LINKS)

    def _cut(self, links):
        links = set(links)
        self.cut_links |= links
        heal_at = self._now + self.random.uniform(2, 40)
        self.at(heal_at, lambda: self.cut_links.difference_update(links))

    def _restart(self):
        for host in self.random.sample(HOSTS, self.random.randrange(1, 4)):
            self.restart(host)

    def _slow(self):
        self.max_delay_s = self.random.choice((0.1, 1, 4))

    def _poll(self, host: str):
        replica = self.replicas[host]
        self._query_platform(host, replica)
        for peer in HOSTS:
            if peer != host:
                self._query_peer(host, replica, peer)
        self._admit(host, replica)
        self.at(self._now + POLL_S, functools.partial(self._poll, host))

    def _query_platform(self, host, replica):
        sent_at = self._now

        def answer():
            newest = self.versions[-1]
            self.send(PLATFORM, host, lambda: apply_response(newest))

        def apply_response(newest):
            replica.apply(newest)
            replica.confirm(newest.version, sent_at)

        self.send(host, PLATFORM, answer)

    def _query_peer(self, host, replica, peer):
        sent_at = self._now

        def answer():
            report = self.replicas[peer].report()
            loaded = self.replicas[peer].loaded
            self.send(peer, host, lambda: apply_response(report, loaded))

        def apply_response(report, loaded):
            replica.merge_report(report, sent_at)
            replica.apply(loaded)

        self.send(host, peer, answer)

    def _admit(self, host, replica):
        if not isinstance(replica.admission(self._now), Fresh):
            return
        for key in replica.loaded.configuration.keys_by_sha256:
            if not replica.is_suspended(key):
                self.admissions.append(Admitted(host, key, self._now))


class WithdrawalClient:
    """An operator's withdrawal of a key through one host."""

    def __init__(self, network: Network, host: str, key: str) -> None:
        self._network = network
        self._host = host
        self._key = key

    def try_once(self, until: float):
        if self._network.now() > until:
            return

        def read_head():
            base = len(self._network.versions)
            self._network.send(
                PLATFORM, self._host, lambda: self._announce(base, until)
            )

        self._network.send(self._host, PLATFORM, read_head)

    def _announce(self, base: int, until: float):
        pending = PendingWithdrawal(f'withdraw-{self._key}', base, (self._key,))
        acknowledged = set()

        def record_vote(voter, votes):
            before = len(acknowledged)
            if votes:
                acknowledged.add(voter)
            if before < MAJORITY and len(acknowledged) == MAJORITY:
                self._network.fail_voters(self._host, acknowledged)
                self._commit(base, until)

        for voter in HOSTS:
            self._ask_voter(voter, pending, record_vote)

    def _ask_voter(self, voter, pending, record_vote):
        network = self._network

        def receive():
            votes = network.replicas[voter].suspend_keys(pending)
            network.send(voter, self._host, lambda: record_vote(voter, votes))

        if voter == self._host:
            record_vote(voter, network.replicas[voter].suspend_keys(pending))
        else:
            network.send(self._host, voter, receive)

    def _commit(self, base: int, until: float):
        def commit():
            if not self._network.commit(self._key, base):
                self.try_once(until)

        if self._network.now() <= until:
            self._network.send(self._host, PLATFORM, commit)
