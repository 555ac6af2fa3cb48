"""The singleton duty of a deployment: usage reports and target orders."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from geranium_coordination import Duty, Lease

from .clock import BootClock

OPERATIONS_DUTY = 'operations'

DutyTask = Callable[[Lease], Awaitable[None]]


class DutyTasks:
    """Runs all singleton tasks under one lease.

    One lease for all tasks needs half the renewals of two leases. A host that
    acquires the lease again waits until ``quiet_s`` after the end of its
    previous term, so that the actions of two holders never alternate closely.

    ``is_held`` is true while this host runs the tasks.

    Args:
        tasks: The tasks to run while the lease is held.
        clock: The clock of leases.
        quiet_s: Minimum delay between two terms of this host.
    """

    def __init__(
        self,
        tasks: Sequence[DutyTask],
        clock: BootClock,
        quiet_s: float,
    ) -> None:
        self._tasks = tuple(tasks)
        self._clock = clock
        self._quiet_s = quiet_s
        self._not_before = -quiet_s
        self.is_held = False

    def duty(self) -> Duty:
        """Return the duty to campaign for."""
        return Duty(OPERATIONS_DUTY, self.run)

    async def run(self, lease: Lease) -> None:
        """Run the tasks until the lease is lost."""
        await self._clock.sleep_until(self._not_before)
        self.is_held = True
        try:
            async with asyncio.TaskGroup() as group:
                for task in self._tasks:
                    group.create_task(_run(task, lease))
        finally:
            self.is_held = False
            self._not_before = self._clock.now() + self._quiet_s


async def _run(task: DutyTask, lease: Lease) -> None:
    await task(lease)
