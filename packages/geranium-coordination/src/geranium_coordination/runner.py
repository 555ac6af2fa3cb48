"""Runs all duties of one process with one session and one view.

Each duty has a task of its own.
"""

import asyncio
import dataclasses
import logging

from .duties import Duty, DutyContext
from .duty_ranking import rank_of
from .election import Election
from .exceptions import StoreError
from .membership import Membership, SessionView
from .shared_session import SharedSession

_LOGGER = logging.getLogger(__name__)
_SWEEP_DUTY = 'sweep of sessions'
_POLL_JITTER = (0.9, 1.1)


@dataclasses.dataclass(frozen=True, slots=True)
class DutyHolder:
    """A duty and its holder, as known to this process.

    ``held_until`` is an instant on this process's clock, and ``None`` for
    duties that other processes hold.
    """

    duty: str
    epoch: int
    host: str | None
    session: str | None
    held_until: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class DutyState:
    """The duties and sessions known to a process, for its state dump."""

    session: str | None
    session_deadline: float | None
    holders: tuple[DutyHolder, ...]
    sessions: tuple[SessionView, ...]


class DutyRunner:
    """Campaigns for duties and runs those that this process holds."""

    def __init__(self, context: DutyContext) -> None:
        self._context = context
        settings = context.settings
        self._membership = Membership(
            context.store,
            context.clock,
            settings.session,
            settings.lease,
        )
        self._shared_session = SharedSession(
            context.store,
            context.clock,
            settings.session,
            context.host,
            context.rng,
        )
        self._elections_by_duty: dict[str, Election] = {}
        self._tasks_by_duty: dict[str, asyncio.Task[None]] = {}

    def add(self, duty: Duty) -> None:
        """Start campaigning for a duty; call it in the running event loop."""
        election = Election(
            self._context,
            duty,
            self._membership,
            self._shared_session,
        )
        self._elections_by_duty[duty.name] = election
        self._tasks_by_duty[duty.name] = asyncio.create_task(election.run())

    async def remove(self, name: str) -> None:
        """Stop a duty, release its lease and stop campaigning for it."""
        self._elections_by_duty.pop(name)
        task = self._tasks_by_duty.pop(name)
        task.cancel()
        await asyncio.wait((task,))

    async def run(self) -> None:
        """Poll the leases until cancelled, then release all duties.

        The release waits for duties until their copies of orders are no
        longer in flight, so the caller may need a deadline for the stop.
        """
        try:
            while True:
                self._raise_task_errors()
                await self._poll()
                await self._pause()
        finally:
            await self._stop()

    def dump(self) -> DutyState:
        """Return the currently known duties and sessions."""
        view = self._membership.view
        session = self._shared_session.session
        holders = tuple(
            DutyHolder(
                lease.duty,
                lease.epoch,
                lease.host,
                lease.session,
                self._held_until(lease.duty),
            )
            for lease in view.leases_by_duty.values()
        )
        return DutyState(
            session=session.identity if session else None,
            session_deadline=session.deadline if session else None,
            holders=holders,
            sessions=tuple(view.sessions_by_identity.values()),
        )

    def _held_until(self, name: str) -> float | None:
        election = self._elections_by_duty.get(name)
        if election is None or election.lease is None:
            return None
        return election.lease.held_until()

    async def _poll(self) -> None:
        try:
            await self._membership.refresh()
        except StoreError as error:
            _LOGGER.debug('leases were not read: %s', error)
            return
        if not self._rank_for(_SWEEP_DUTY):
            await self._membership.sweep()

    async def _pause(self) -> None:
        settings = self._context.settings
        ranks = (
            election.rank() for election in self._elections_by_duty.values()
        )
        pause_s = settings.idle_poll_interval_s
        if min(ranks, default=settings.standby_count) < settings.standby_count:
            pause_s = settings.poll_interval_s
        pause_s *= self._context.rng.uniform(*_POLL_JITTER)
        clock = self._context.clock
        await clock.sleep_until(clock.now() + pause_s)

    def _rank_for(self, duty: str) -> int:
        return rank_of(duty, self._context.host, self._context.hosts())

    def _raise_task_errors(self) -> None:
        """Raise the error of a failed task, which ends the runner."""
        for task in self._tasks_by_duty.values():
            if task.done():
                task.result()

    async def _stop(self) -> None:
        tasks = tuple(self._tasks_by_duty.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
