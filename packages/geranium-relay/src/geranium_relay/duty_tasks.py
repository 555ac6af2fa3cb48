"""The one duty of a deployment: reporting usage and ordering targets."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from geranium_coordination import Duty, Lease

from .clock import BootClock

OPERATIONS_DUTY = 'operations'

Work = Callable[[Lease], Awaitable[None]]


class DutyTasks:
    """Runs all singleton work under one lease.

    One lease for all of it costs half the renewals of two. A host that has
    held the lease does nothing in a later holding until ``quiet_s`` after
    the former one, so that the acts of two holders never alternate closely.

    ``is_held`` tells whether this host acts at the moment.

    Args:
        works: What to run while the lease lasts.
        clock: The clock of leases.
        quiet_s: See above.
    """

    def __init__(
        self,
        works: Sequence[Work],
        clock: BootClock,
        quiet_s: float,
    ) -> None:
        self._works = tuple(works)
        self._clock = clock
        self._quiet_s = quiet_s
        self._quiet_until = -quiet_s
        self.is_held = False

    def duty(self) -> Duty:
        """Return what to campaign for."""
        return Duty(OPERATIONS_DUTY, self.run)

    async def run(self, lease: Lease) -> None:
        """Work until the lease is lost."""
        await self._clock.sleep_until(self._quiet_until)
        self.is_held = True
        try:
            async with asyncio.TaskGroup() as group:
                for work in self._works:
                    group.create_task(_run(work, lease))
        finally:
            self.is_held = False
            self._quiet_until = self._clock.now() + self._quiet_s


async def _run(work: Work, lease: Lease) -> None:
    await work(lease)
