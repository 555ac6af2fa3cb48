"""Tracks which services this host reaches, by checks that cost no caller."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from geranium_policy.crash_evidence import TargetReach
from geranium_policy.service_reach import (
    ReachCheck,
    ReachSettings,
    draw_sample,
    is_cut_after,
    needed_to_reach,
)

from ..decision_log import DecisionLog
from ..ports import TargetPort
from ..targets import Fleet, Target


class ServiceReach:
    """Checks the links to the targets of a service after a failed call.

    A service that is cut is checked until it is reached again. A check opens
    connections to some targets and sends nothing.

    Args:
        settings: How services are checked.
        fleet: The targets.
        targets: Opens connections to targets.
        clock: Returns the current time in seconds.
        source: Random numbers that draw the targets to try.
        log: Receives a record of each change.

    ``on_change`` is called with the name of a service that was cut or is
    reached again.
    """

    def __init__(
        self,
        settings: ReachSettings,
        fleet: Fleet,
        targets: TargetPort,
        clock: Callable[[], float],
        source: random.Random,
        log: DecisionLog,
    ) -> None:
        self.on_change: Callable[[str], None] | None = None
        self._settings = settings
        self._fleet = fleet
        self._targets = targets
        self._clock = clock
        self._source = source
        self._log = log
        self._cut_at_by_service: dict[str, float] = {}
        self._checked_at_by_service: dict[str, float] = {}
        self._checks_by_service: dict[str, asyncio.Task[None]] = {}
        self._watches_by_service: dict[str, asyncio.Task[None]] = {}

    def is_cut(self, service: str) -> bool:
        """Return whether this host reaches no target of a service."""
        return service in self._cut_at_by_service

    def cut_services(self) -> tuple[str, ...]:
        """Return the services of which this host reaches no target."""
        return tuple(self._cut_at_by_service)

    def suspect(self, service: str) -> None:
        """Check a service: a call to one of its targets has failed."""
        now = self._clock()
        checked_at = self._checked_at_by_service.get(service)
        if service in self._checks_by_service or self.is_cut(service):
            return
        if checked_at is not None:
            if now - checked_at < self._settings.suspicion_interval_s:
                return
        check = asyncio.create_task(self._check(service))
        self._checks_by_service[service] = check
        check.add_done_callback(
            lambda _: self._checks_by_service.pop(service, None)
        )

    async def settle(self, service: str) -> None:
        """Wait for a check of a service that has begun."""
        check = self._checks_by_service.get(service)
        if check is not None:
            await asyncio.wait((check,))

    async def judge(self, target: Target) -> TargetReach:
        """Return what this host can say of a target by its links."""
        if await self._targets.is_reachable(target):
            return TargetReach.REACHED
        if await self._reaches_others(target):
            return TargetReach.UNREACHED
        return TargetReach.UNKNOWN

    async def judge_key(self, key: str) -> TargetReach:
        """Return the same of a target given by its key.

        A target that is not listed any more is not reached.
        """
        for target in self._fleet.targets_by_identity.values():
            if target.key == key:
                return await self.judge(target)
        return TargetReach.UNREACHED

    def listed_at(self, target: Target) -> float:
        """Return when the list was last known to hold this start of a target.

        It is ``-inf`` if it holds none or another one.
        """
        known = self._fleet.targets_by_identity.get(target.identity)
        if known is None or known.key != target.key:
            return -math.inf
        return self._fleet.read_at

    async def cleanup(self) -> None:
        """Stop all checks."""
        tasks = (
            *self._checks_by_service.values(),
            *self._watches_by_service.values(),
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _check(self, service: str) -> None:
        was_cut = self.is_cut(service)
        targets = self._fleet.of_service(service)
        sample = draw_sample(
            targets, self._settings, self._source, is_cut=was_cut
        )
        needed = needed_to_reach(len(sample), is_cut=was_cut)
        reached = await self._count_reached(sample, needed)
        self._checked_at_by_service[service] = self._clock()
        check = ReachCheck(len(sample), reached)
        is_cut = is_cut_after(check, is_cut=was_cut)
        if is_cut is not was_cut:
            self._change(service, check, is_cut=is_cut)

    async def _reaches_others(self, target: Target) -> bool:
        """Return whether a target other than this one is reached.

        Those of its service are tried, or all if there are none.
        """
        others = [
            other
            for other in self._fleet.targets_by_identity.values()
            if other.identity != target.identity
        ]
        near = [other for other in others if other.service == target.service]
        sample = draw_sample(
            near or others, self._settings, self._source, is_cut=False
        )
        return await self._count_reached(sample, 1) > 0

    async def _count_reached(
        self, sample: Sequence[Target], needed: int
    ) -> int:
        """Return how many targets accept a connection, or ``needed``."""
        attempts = [
            asyncio.create_task(self._targets.is_reachable(target))
            for target in sample
        ]
        reached = 0
        try:
            for attempt in asyncio.as_completed(attempts):
                reached += await attempt
                if reached >= needed:
                    return reached
        finally:
            for attempt in attempts:
                attempt.cancel()
        return reached

    def _change(self, service: str, check: ReachCheck, *, is_cut: bool) -> None:
        now = self._clock()
        if is_cut:
            self._cut_at_by_service[service] = now
            watch = asyncio.create_task(self._watch(service))
            self._watches_by_service[service] = watch
            self._log.record(
                'service_cut',
                service=service,
                tried=check.tried,
                reached=check.reached,
            )
            # The next request of another service should not find out first.
            for other in self._fleet.services():
                self.suspect(other)
        else:
            cut_at = self._cut_at_by_service.pop(service)
            self._watches_by_service.pop(service, None)
            self._log.record(
                'service_reached',
                service=service,
                tried=check.tried,
                reached=check.reached,
                cut_for_s=round(now - cut_at, 3),
            )
        if self.on_change is not None:
            self.on_change(service)

    async def _watch(self, service: str) -> None:
        """Check a service that is cut until it is reached."""
        while self.is_cut(service):
            await asyncio.sleep(self._settings.cut_interval_s)
            await self._check(service)
