"""Hosts that share limits, over a network that loses what it carries."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Sequence

from geranium_policy.team_quotas import (
    Debit,
    HostName,
    QuotaAnswer,
    QuotaLimit,
    QuotaMember,
    QuotaSettings,
    TeamAsks,
)

TICK_S = 0.4
STEP_S = 0.02
DELAY_S = 0.004
SETTLE_S = 1
TEAM = 1
SETTINGS = QuotaSettings()


@dataclasses.dataclass(slots=True)
class SimulatedHost:
    """A host; what arrives while it is frozen waits for it."""

    name: str
    number: int
    member: QuotaMember
    asks: TeamAsks
    share_from: float
    tick_at: float
    frozen: bool = False
    dead: bool = False
    offset_s: float = 0


class QuotaHosts:
    """Simulates hosts, their messages and the requests of one team."""

    def __init__(
        self,
        count: int,
        limit: QuotaLimit,
        settings: QuotaSettings = SETTINGS,
        seed: int = 0,
    ) -> None:
        self.now: float = 100
        self.limit = limit
        self.runs: list[tuple[float, float]] = []
        self.refused: list[tuple[float, float]] = []
        self.loss: float = 0
        self.repeats: float = 0
        self.sides: list[set[int]] = []
        self.hosts: list[SimulatedHost] = []
        self._settings = settings
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, int, HostName, object]] = []
        self._ids = itertools.count(1)
        for number in range(count):
            self.hosts.append(self._start(number, self.now))

    def restart(self, number: int) -> None:
        self.hosts[number] = self._start(number, self.now + SETTLE_S)

    def kill(self, number: int) -> None:
        self.hosts[number].dead = True

    def freeze(self, number: int) -> None:
        self.hosts[number].frozen = True

    def thaw(self, number: int) -> None:
        self.hosts[number].frozen = False

    def cut(self, number: int) -> None:
        """Cut the hosts up to a number from the others."""
        self.sides.append(set(range(number + 1)))

    def limit_to(self, limit: QuotaLimit) -> None:
        self.limit = limit
        for host in self.hosts:
            host.member.apply({TEAM: limit}, self._clock(host))

    def request(self, number: int, cost: int) -> None:
        """Let a caller send a request to a host."""
        host = self.hosts[number]
        if host.dead or host.frozen:
            return
        decision = host.asks.request(cost, cost, self._clock(host))
        if decision is not None:
            self._record(cost, decision)

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            for host in self.hosts:
                if not host.dead and not host.frozen:
                    self._run_timers(host)

    def served(self, since: float) -> float:
        return sum(cost for at, cost in self.runs if at >= since)

    def worst_window(self, since: float = 0) -> float:
        """Return the most that was run in a window."""
        runs = [run for run in self.runs if run[0] >= since]
        worst: float = 0
        total: float = 0
        oldest = 0
        for at, cost in runs:
            total += cost
            while runs[oldest][0] <= at - self._settings.window_s:
                total -= runs[oldest][1]
                oldest += 1
            worst = max(worst, total)
        return worst

    def _start(self, number: int, share_from: float) -> SimulatedHost:
        name = f'h{number}'.rjust(4, 'h')
        own = HostName(name, next(self._ids))
        # The clocks of hosts have nothing in common.
        offset_s = self._random.uniform(0, 1000)
        now = self.now + offset_s
        member = QuotaMember(own, self._settings, now)
        member.apply({TEAM: self.limit}, now)
        asks: TeamAsks[int] = TeamAsks(
            TEAM,
            member,
            lambda broker, ask: self._send(number, own, broker, ask),
            self._record,
        )
        tick_at = self.now + self._random.uniform(0, TICK_S)
        return SimulatedHost(
            name, number, member, asks, share_from, tick_at, offset_s=offset_s
        )

    def _clock(self, host: SimulatedHost) -> float:
        return self.now + host.offset_s

    def _record(self, cost: int, decision: object) -> None:
        runs = self.runs if isinstance(decision, Debit) else self.refused
        runs.append((self.now, cost))

    def _candidates(self, host: SimulatedHost) -> Sequence[str]:
        """Return the hosts that this one hears; the first is the strongest."""
        return [
            other.name
            for other in self.hosts
            if not other.dead
            and not (other.frozen and other is not host)
            and self._connects(host.number, other.number)
        ]

    def _connects(self, one: int, other: int) -> bool:
        return all((one in side) == (other in side) for side in self.sides)

    def _run_timers(self, host: SimulatedHost) -> None:
        now = self._clock(host)
        if self.now >= host.tick_at:
            host.tick_at = self.now + TICK_S
            share: float = 0
            if self.now >= host.share_from:
                share = 1 / len(self.hosts)
            message = host.member.tick(self._candidates(host), share, now)
            if message is not None:
                own = HostName(host.name, host.member.incarnation)
                self._send(host.number, own, host.member.choice.broker, message)
        host.asks.expire(now)

    def _send(
        self, number: int, sender: HostName, name: str, message: object
    ) -> None:
        receiver = int(name.lstrip('h'))
        if not self._connects(number, receiver):
            return
        copies = 1 + (self._random.random() < self.repeats)
        for _ in range(copies):
            if self._random.random() >= self.loss:
                delay_s = DELAY_S * self._random.uniform(1, 4)
                heapq.heappush(
                    self._queue,
                    (
                        self.now + delay_s,
                        next(self._ids),
                        receiver,
                        sender,
                        message,
                    ),
                )

    def _deliver(self) -> None:
        kept = []
        while self._queue and self._queue[0][0] <= self.now:
            entry = heapq.heappop(self._queue)
            host = self.hosts[entry[2]]
            if host.frozen:
                kept.append(entry)
            elif not host.dead:
                self._receive(host, entry[3], entry[4])
        for entry in kept:
            heapq.heappush(self._queue, entry)

    def _receive(
        self, host: SimulatedHost, sender: HostName, message: object
    ) -> None:
        now = self._clock(host)
        if isinstance(message, QuotaAnswer):
            host.asks.accept(sender.host, message, now)
            return
        reply = host.member.receive(sender, message, now)
        if reply is not None:
            own = HostName(host.name, host.member.incarnation)
            self._send(host.number, own, sender.host, reply)
