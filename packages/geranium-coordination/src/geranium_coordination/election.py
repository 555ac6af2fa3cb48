"""The election task of one duty: campaign, hold, run, step down."""

import asyncio
import logging
import math

from .duties import Duty, DutyContext
from .duty_ranking import rank_of
from .exceptions import StoreError
from .leases import Lease, LeaseRecord, Leases
from .membership import Membership, MembershipView
from .sessions import Session
from .shared_session import SharedSession
from .timeouts import finish_by

_LOGGER = logging.getLogger(__name__)
# Reaches any practical limit without overflow.
_MAX_DOUBLINGS = 16


class Election:
    """Campaigns for one duty and runs it while its lease is held."""

    def __init__(
        self,
        context: DutyContext,
        duty: Duty,
        membership: Membership,
        shared_session: SharedSession,
    ) -> None:
        self.duty = duty
        self.lease: Lease | None = None
        self._clock = context.clock
        self._settings = context.settings
        self._host = context.host
        self._hosts = context.hosts
        self._rng = context.rng
        self._membership = membership
        self._shared_session = shared_session
        self._leases = Leases(
            context.store,
            context.clock,
            context.settings.lease,
            context.rng,
        )
        self._free_version = -1
        self._free_since = -math.inf
        self._failures = 0

    async def run(self) -> None:
        """Campaign, hold and run repeatedly until cancelled.

        Cancellation stops the duty, then releases the lease.
        """
        while True:
            found = await self._wait_for_free_lease()
            try:
                async with self._shared_session.use() as session:
                    await self._hold_lease(found, session)
            except StoreError as error:
                _LOGGER.debug(
                    'lease of %s was not acquired: %s', self.duty.name, error
                )
            await self._back_off()

    def rank(self) -> int:
        """Return this host's rank for the duty, 0 for the first."""
        return rank_of(self.duty.name, self._host, self._hosts())

    async def _wait_for_free_lease(self) -> LeaseRecord | None:
        while True:
            view = await self._membership.next_view()
            found = view.leases_by_duty.get(self.duty.name)
            if self._may_campaign(found, view):
                return found

    def _may_campaign(
        self,
        found: LeaseRecord | None,
        view: MembershipView,
    ) -> bool:
        if not self._membership.is_free(found):
            self._free_version = -1
            return False
        now = self._clock.now()
        version = found.version if found else 0
        if version != self._free_version:
            self._free_version = version
            self._free_since = now
        return now >= self._free_since + self._campaign_delay_s(view)

    def _campaign_delay_s(self, view: MembershipView) -> float:
        settings = self._settings
        delay_s = min(
            self.rank() * settings.rank_delay_s,
            settings.max_rank_delay_s,
        )
        if self._holds_fair_share(view):
            delay_s += settings.share_delay_s
        return delay_s

    def _holds_fair_share(self, view: MembershipView) -> bool:
        """Return whether this host already holds its share of all duties."""
        holders = tuple(view.holders_by_duty().values())
        duty_count = max(len(view.leases_by_duty), 1)
        share = duty_count / max(len(self._hosts()), 1)
        return holders.count(self._host) >= share

    async def _hold_lease(
        self, found: LeaseRecord | None, session: Session
    ) -> None:
        if found is None:
            found = await self._leases.create(self.duty.name)
        lease = await self._leases.acquire(found, session)
        self.lease = lease
        try:
            await self._run_with_restarts(lease)
        finally:
            self.lease = None
            await self._step_down(lease)

    async def _step_down(self, lease: Lease) -> None:
        if lease.is_held():
            await self._leases.release(lease)
        lease.give_up()

    async def _run_with_restarts(self, lease: Lease) -> None:
        """Run the duty; restart it under the same lease after errors."""
        for _ in range(1 + self._settings.restarts_in_place):
            if not lease.is_held():
                return
            if await self._run_once(lease):
                self._failures = 0
                return
            self._failures += 1
            await self._back_off_while(lease)

    async def _run_once(self, lease: Lease) -> bool:
        """Run until the duty ends or the lease is lost.

        Returns ``False`` if the duty raised an error.
        """
        work = asyncio.ensure_future(self.duty.run(lease))
        loss = asyncio.create_task(lease.wait_until_lost())
        try:
            await asyncio.wait(
                (work, loss),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            await _cancel_all(loss, work)
        error = None if work.cancelled() else work.exception()
        if error is None:
            return True
        _LOGGER.error('%s failed', self.duty.name, exc_info=error)
        return False

    def _backoff_s(self) -> float:
        ceiling_s = min(
            math.ldexp(
                self._settings.backoff_s,
                min(self._failures, _MAX_DOUBLINGS),
            ),
            self._settings.max_backoff_s,
        )
        return ceiling_s * self._rng.uniform(0.5, 1)

    async def _back_off(self) -> None:
        await self._clock.sleep_until(self._clock.now() + self._backoff_s())

    async def _back_off_while(self, lease: Lease) -> None:
        deadline = self._clock.now() + self._backoff_s()
        try:
            await finish_by(self._clock, deadline, lease.wait_until_lost())
        except TimeoutError:
            return


async def _cancel_all(*tasks: asyncio.Future[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
