"""Simulates callers that resend calls through failing hosts."""

import asyncio
import functools

import geranium_coordination as coordination

from .claim_history import AnsweredNotRun, Executed, Replayed, Stuck
from .config_store import Faults, Schedule, ScheduledStore

FAULTS = Faults(
    refused=0.08,
    lost_after=0.08,
    lost_before=0.08,
    outages=((1002, 1005),),
)
SETTINGS = coordination.ClaimSettings(
    buckets=2,
    claim_timeout_s=0.5,
    writes_per_second=1000,
)
CALLS = ('deposit-1', 'deposit-2', 'order-1')
HOSTS = 3
TRIES = 5
KILL_SHARE = 0.5
WRONGLY_GONE_SHARE = 0.05
WRONG_OWNER_SHARE = 0.2
QUIET_PERIOD_S = 30


class Host:
    """One incarnation of a host with its claim journal."""

    def __init__(self, run: 'Run', name: str) -> None:
        self.name = name
        self.run = run
        self.tasks: list[asyncio.Task] = []
        self.alive = True
        self.journal = coordination.ClaimJournal(
            name, run.store, self, SETTINGS, run.schedule
        )
        self.start(self.journal.run())

    def is_gone(self, holder: str) -> bool:
        wrongly = self.run.schedule.random.random() < WRONGLY_GONE_SHARE
        return holder in self.run.gone or wrongly

    def owner_of(self, bucket: int) -> str | None:
        """Return the owner, or at random another host."""
        names = [host.name for host in self.run.hosts]
        owner = coordination.claim_bucket_owner(bucket, names)
        if self.run.schedule.random.random() < WRONG_OWNER_SHARE:
            owner = self.run.schedule.random.choice(names)
        return None if owner == self.name else owner

    async def forward(self, owner: str, operation):
        """Forward an operation; either direction may be lost or delayed."""
        peers = {host.name: host for host in self.run.hosts}
        encoded = coordination.encode_claim_message(operation)
        effect = functools.partial(peers[owner].receive, encoded)
        try:
            serving = await self.run.schedule.submit('forward', effect)
        except coordination.StoreError as error:
            raise ConnectionError(str(error)) from error
        await asyncio.wait({serving})
        if serving.cancelled():
            raise ConnectionError(owner)
        return serving.result()

    def receive(self, encoded: bytes):
        if not self.alive:
            raise coordination.UnavailableError(self.name)
        operation = coordination.decode_claim_message(encoded)
        return self.start(self.journal.execute(operation))

    def start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def kill(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()


class Run:
    """Simulates calls, kills, and lost and late responses of a seed."""

    def __init__(self, seed: int) -> None:
        self.schedule = Schedule(seed, FAULTS)
        self.store = ScheduledStore(self.schedule)
        self.history: list[object] = []
        self.gone: set[str] = set()
        self.hosts: list[Host] = []
        self.incarnations = 0

    def play(self):
        asyncio.run(self._play())
        return self.history

    async def serve(self, host: Host, call: str):
        """Handle one request; return whether its caller need not resend."""
        outcome = await host.journal.claim('team', call, f'print of {call}')
        match outcome:
            case coordination.Claimed(ticket):
                return await self._send(host, call, ticket)
            case coordination.AlreadyCompleted(kept):
                attempt = (kept.body or b'').decode()
                self.history.append(Replayed(call, attempt))
                return True
        return False

    async def _play(self):
        self.hosts = [self._boot(number) for number in range(HOSTS)]
        callers = [self._resend(call) for call in CALLS for _ in range(2)]
        await self.schedule.run(*callers, self._kill_hosts())
        self.schedule.faults = Faults()
        checks = [self._check_stuck(call) for call in CALLS]
        await self.schedule.run(*checks)
        for host in self.hosts:
            host.kill()

    def _boot(self, number: int) -> Host:
        self.incarnations += 1
        return Host(self, f'host-{number}#{self.incarnations}')

    async def _kill_hosts(self):
        for _ in range(3):
            pause_s = self.schedule.random.uniform(0, 3)
            await self.schedule.sleep_until(self.schedule.now() + pause_s)
            number = self.schedule.random.randrange(HOSTS)
            if self.schedule.random.random() < KILL_SHARE:
                self.hosts[number].kill()
                self.gone.add(self.hosts[number].name)
                self.hosts[number] = self._boot(number)

    async def _resend(self, call: str):
        for _ in range(TRIES):
            host = self.schedule.random.choice(self.hosts)
            request = host.start(self.serve(host, call))
            await asyncio.wait({request})
            if not request.cancelled() and request.result():
                return
            await self.schedule.sleep_until(self.schedule.now() + 1)

    async def _send(self, host: Host, call: str, ticket):
        attempt = ticket.attempt
        try:
            await self.schedule.submit(
                'execute', lambda: self.history.append(Executed(call, attempt))
            )
        except coordination.AnswerLostError:
            await host.journal.give_up(ticket)
            return False
        except coordination.UnavailableError:
            self.history.append(AnsweredNotRun(call, attempt))
            await host.journal.release(ticket)
            return False
        kept = coordination.make_call_outcome(200, (), attempt.encode())
        await host.journal.complete(ticket, kept)
        return True

    async def _check_stuck(self, call: str):
        await self.schedule.idle(QUIET_PERIOD_S)
        host = self.schedule.random.choice(self.hosts)
        outcome = await host.journal.claim('team', call, f'print of {call}')
        if isinstance(outcome, coordination.InProgress):
            self.history.append(Stuck(call))
