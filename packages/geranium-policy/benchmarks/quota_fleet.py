"""Fleets of hosts that keep the quotas of teams in different ways.

The hosts run in one process and exchange messages with a delay. Nothing is
lost, and callers that are refused don't return.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Protocol, TypeAlias

from geranium_policy.team_quotas import (
    Debit,
    Decision,
    HostName,
    QuotaAnswer,
    QuotaAsk,
    QuotaLimit,
    QuotaMember,
    QuotaMessage,
    QuotaSettings,
    TeamAsks,
)

TICK_S = 0.4
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.003
TIMER_S = 0.061


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a team at a host."""

    at: float
    host: int
    team: int
    cost: int


@dataclasses.dataclass(slots=True)
class Record:
    """What was run and refused, and how long requests waited."""

    runs: list[Arrival]
    refused: list[Arrival]
    waits_s: list[float]

    def add(self, arrival: Arrival, now: float, *, runs: bool) -> None:
        """Record the decision on a request."""
        kept = self.runs if runs else self.refused
        kept.append(dataclasses.replace(arrival, at=now))
        self.waits_s.append(now - arrival.at)


class Fleet(Protocol):
    """Hosts that admit requests."""

    def advance(self, now: float) -> None:
        """Let the time pass until now."""
        ...

    def request(self, arrival: Arrival, record: Record) -> None:
        """Decide on a request that arrives now."""
        ...


class SharedBuckets:
    """Buckets that start full, each for some hosts; none exchanges messages.

    Args:
        limits: The limits of the teams.
        hosts: Number of hosts.
        shared: Whether all hosts have the same buckets, as if each knew at
            once what the others have sent; otherwise each has its share.
    """

    def __init__(
        self, limits: Sequence[QuotaLimit], hosts: int, *, shared: bool
    ) -> None:
        self._limits = limits
        self._shares = 1 if shared else hosts
        self._levels: dict[tuple[int, int], tuple[float, float]] = {}

    def advance(self, now: float) -> None:
        """Do nothing: there are no messages."""

    def request(self, arrival: Arrival, record: Record) -> None:
        """Decide on a request that arrives now."""
        limit = self._limits[arrival.team]
        key = (arrival.host % self._shares, arrival.team)
        burst = limit.burst / self._shares
        level, filled_at = self._levels.get(key, (burst, arrival.at))
        passed_s = arrival.at - filled_at
        level += limit.rate_per_s / self._shares * passed_s
        level = min(level, burst)
        runs = level >= arrival.cost
        if runs:
            level -= arrival.cost
        self._levels[key] = (level, arrival.at)
        record.add(arrival, arrival.at, runs=runs)


_Event: TypeAlias = tuple[float, int, Callable[[], None]]


class _Host:
    """A host and its waiting requests by team."""

    def __init__(self, number: int, limits: Sequence[QuotaLimit]) -> None:
        self.number = number
        self.name = HostName(f'h{number}', 1)
        self.member = QuotaMember(self.name, QuotaSettings(), 0)
        self.member.apply(dict(enumerate(limits)), 0)
        self.asks_by_team: dict[int, TeamAsks[Arrival]] = {}
        self.is_dead = False
        self.side = 0


class BrokerFleet:
    """Hosts that ask a quota broker.

    Args:
        limits: The limits of the teams.
        hosts: Number of hosts.
        seed: Of the delays.
    """

    def __init__(
        self, limits: Sequence[QuotaLimit], hosts: int, seed: int
    ) -> None:
        self._now: float = 0
        self._random = random.Random(seed)
        self._ids = itertools.count()
        self._events: list[_Event] = []
        self._hosts = [_Host(number, limits) for number in range(hosts)]
        self._record: Record | None = None
        self.messages_by_host = collections.Counter[int]()
        for host in self._hosts:
            first_s = self._random.uniform(0, TICK_S)
            self._schedule(first_s, functools.partial(self._tick, host))

    def kill(self, number: int) -> None:
        """End a host."""
        self._hosts[number].is_dead = True

    def cut(self, numbers: Sequence[int]) -> None:
        """Cut some hosts from the others."""
        for number in numbers:
            self._hosts[number].side = 1

    def advance(self, now: float) -> None:
        """Deliver the messages that arrive until now."""
        while self._events and self._events[0][0] <= now:
            at, _, run = heapq.heappop(self._events)
            self._now = at
            run()
        self._now = now

    def request(self, arrival: Arrival, record: Record) -> None:
        """Decide on a request that arrives now, or let it wait."""
        self._record = record
        host = self._hosts[arrival.host]
        if host.is_dead:
            return
        asks = host.asks_by_team.get(arrival.team)
        if asks is None:
            asks = TeamAsks(
                arrival.team,
                host.member,
                functools.partial(self._send, host),
                self._decide,
            )
            host.asks_by_team[arrival.team] = asks
        decision = asks.request(arrival.cost, arrival, self._now)
        if decision is not None:
            self._decide(arrival, decision)

    def _decide(self, arrival: Arrival, decision: Decision) -> None:
        if self._record is not None:
            runs = isinstance(decision, Debit)
            self._record.add(arrival, self._now, runs=runs)

    def _schedule(self, delay_s: float, run: Callable[[], None]) -> None:
        event = (self._now + delay_s, next(self._ids), run)
        heapq.heappush(self._events, event)

    def _tick(self, host: _Host) -> None:
        if host.is_dead:
            return
        candidates = tuple(
            other.name.host
            for other in self._hosts
            if other.side == host.side and not other.is_dead
        )
        share = 1 / len(self._hosts)
        message = host.member.tick(candidates, share, self._now)
        if message is not None:
            self._send(host, host.member.choice.broker, message)
        self._schedule(TICK_S, functools.partial(self._tick, host))

    def _send(self, host: _Host, name: str, message: QuotaMessage) -> None:
        receiver = self._hosts[int(name[1:])]
        self.messages_by_host[host.number] += 1
        delay_s = self._random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self._schedule(
            delay_s, functools.partial(self._receive, host, receiver, message)
        )
        if isinstance(message, QuotaAsk):
            expire = functools.partial(self._expire, host, message.team)
            self._schedule(TIMER_S, expire)

    def _receive(
        self, sender: _Host, host: _Host, message: QuotaMessage
    ) -> None:
        if host.is_dead or host.side != sender.side:
            return
        self.messages_by_host[host.number] += 1
        if isinstance(message, QuotaAnswer):
            for asks in tuple(host.asks_by_team.values()):
                if asks.awaits(message.number):
                    asks.accept(sender.name.host, message, self._now)
            return
        reply = host.member.receive(sender.name, message, self._now)
        if reply is not None:
            self._send(host, sender.name.host, reply)

    def _expire(self, host: _Host, team: int) -> None:
        if not host.is_dead:
            host.asks_by_team[team].expire(self._now)
