"""Simulates hosts that count, replicate and fail, and racing reporters."""

import asyncio
import functools

import geranium_coordination as coordination
from geranium_model import Usage

from .config_store import Faults, Schedule, ScheduledStore
from .usage_history import History, Submitted

FAULTS = Faults(
    refused=0.06,
    lost_after=0.06,
    lost_before=0.06,
    killed=0.004,
    outages=((1006, 1009),),
)
SETTINGS = coordination.UsageSettings(call_budget_s=1)
HOSTS = 4
REPLICAS = 2
KILLS = 2
REPORTERS = 2
ROUNDS = 12
WINDOW_S = 5


class Host:
    """One incarnation of a host, which replicates to two others."""

    def __init__(self, run: 'Run', name: str) -> None:
        self.name = name
        self.run = run
        self.ledger = coordination.UsageLedger(
            name, self, SETTINGS, run.schedule
        )

    async def replicate(self, batch):
        others = [host for host in self.run.hosts if host is not self]
        peers = self.run.schedule.random.sample(others, REPLICAS)
        for peer in peers:
            effect = functools.partial(peer.ledger.merge, [batch])
            try:
                await self.run.schedule.submit('replicate', effect)
            except coordination.StoreError as error:
                raise coordination.ReplicationError(str(error)) from error

    async def count(self):
        history = self.run.history
        made: set[str] = set()
        for _ in range(ROUNDS):
            team = f'{self.name}-{len(history.recorded)}'
            made.add(team)
            history.recorded.add(team)
            window = self.run.window()
            self.ledger.record(window, team, Usage(requests=1))
            try:
                await self.ledger.replicate()
            except coordination.ReplicationError:
                continue
            history.acknowledged |= made
            await self.run.schedule.sleep_until(self.run.schedule.now() + 1)


class Reporter:
    """A process that assumes that it holds the lease."""

    def __init__(self, run: 'Run') -> None:
        self.run = run
        self.partial = True
        self.reporter = coordination.UsageReporter(
            run.store, self, self, lambda: 1, SETTINGS, run.schedule
        )

    async def collect(self, through_window):
        hosts = self.run.hosts
        if self.partial:
            hosts = self.run.schedule.random.sample(hosts, 2)
        batches = [host.ledger.batches(through_window) for host in hosts]
        return tuple(batch for held in batches for batch in held)

    async def submit(self, report):
        requests = {
            team: usage.requests for team, usage in report.usage_by_team.items()
        }
        submitted = Submitted(report.window, requests)
        await self.run.schedule.submit(
            'report', lambda: self.run.history.submitted.append(submitted)
        )

    async def follow(self):
        for _ in range(ROUNDS):
            await self.run.schedule.sleep_until(self.run.schedule.now() + 2)
            try:
                accounts = await self.reporter.report(self.run.window() - 1)
            except (
                coordination.LedgerUnavailableError,
                coordination.StoreError,
            ):
                continue
            for host in self.run.hosts:
                host.ledger.prune(accounts)


class Run:
    """Simulates counting, kills and reports of a seed."""

    def __init__(self, seed: int) -> None:
        self.schedule = Schedule(seed, FAULTS)
        self.store = ScheduledStore(self.schedule)
        self.history = History()
        self.incarnations = 0
        self.kills = 0
        self.hosts = [self._boot(number) for number in range(HOSTS)]

    def window(self) -> int:
        return int(self.schedule.now() // WINDOW_S)

    def violations(self) -> list[str]:
        asyncio.run(self._play())
        return list(self.history.violations())

    def _boot(self, number: int) -> Host:
        self.incarnations += 1
        return Host(self, f'host-{number}#{self.incarnations}')

    def _restart(self, index: int):
        """Restart a role; a host loses its state."""
        if index >= HOSTS:
            return Reporter(self).follow()
        if self.kills == KILLS:
            return self.hosts[index].count()
        self.kills += 1
        self.hosts[index] = self._boot(index)
        return self.hosts[index].count()

    async def _play(self):
        roles = [host.count() for host in self.hosts]
        roles += [Reporter(self).follow() for _ in range(REPORTERS)]
        ends = await self.schedule.run(*roles, on_kill=self._restart)
        assert not any(ends), ends
        self.schedule.faults = Faults()
        last = Reporter(self)
        last.partial = False
        ends = await self.schedule.run(last.reporter.report(self.window()))
        assert isinstance(ends[0], coordination.CountedBatches), ends
