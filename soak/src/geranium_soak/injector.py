"""Carries out the faults of a plan against a world."""

import asyncio
import random

from . import faults
from .observations import now
from .plans import Step
from .world import World

SETTINGS_LINE = 'extraField{number} = {number}'  # ignored by hosts


class Injector:
    """Starts each fault at its time and picks what it hits.

    Args:
        world: What is harmed.
        source: Picks hosts and targets.
    """

    def __init__(self, world: World, source: random.Random) -> None:
        self._world = world
        self._source = source
        self._reloads = 0

    async def run(self, steps: tuple[Step, ...]) -> None:
        """Return once all faults have begun and are over."""
        begun_at = now()
        async with asyncio.TaskGroup() as group:
            for step in steps:
                left_s = begun_at + step.at_s - now()
                await asyncio.sleep(max(left_s, 0))
                group.create_task(self._inject(step.fault))

    async def _inject(self, fault: faults.Fault) -> None:
        match fault:
            case (
                faults.KillHosts()
                | faults.PauseHost()
                | faults.StopHost()
                | faults.ReloadHost()
                | faults.CutStoreLink()
            ):
                await self._harm_host(fault)
            case faults.HarmStore(fault=harm, for_s=for_s):
                await self._world.harm_store(harm, for_s)
            case faults.ChangeCatalogue(count=count, gap_s=gap_s):
                for _ in range(count):
                    self._world.publish()
                    await asyncio.sleep(gap_s)
            case faults.WithdrawKey():
                self._world.withdraw_key()
            case _:
                await self._harm_target(fault)

    async def _harm_host(self, fault: faults.Fault) -> None:
        host = self._source.choice(self._world.hosts)
        match fault:
            case faults.KillHosts(count=count):
                for each in self._source.sample(self._world.hosts, count):
                    each.kill()
            case faults.PauseHost(for_s=for_s):
                await host.pause(for_s)
            case faults.StopHost():
                host.terminate()
            case faults.ReloadHost(signalled=signalled):
                self._reloads += 1
                line = SETTINGS_LINE.format(number=self._reloads)
                host.append_setting(line)
                if signalled:
                    host.reload()
            case faults.CutStoreLink(fault=link, for_s=for_s):
                await self._world.cut_store_link(host, link, for_s)

    async def _harm_target(self, fault: faults.Fault) -> None:
        fleet = self._world.fleet
        working = fleet.working()
        if not working:
            return
        seat = self._source.choice(working)
        match fault:
            case faults.CutTargetLink(fault=link, for_s=for_s):
                await fleet.cut(seat, link, for_s)
            case faults.DelayTargetLink(delay_ms=delay_ms, for_s=for_s):
                await fleet.delay(seat, delay_ms, for_s)
            case faults.HarmTarget(fault=harm, share=share, for_s=for_s):
                await fleet.harm(seat, harm, share, for_s)
            case faults.CrashTarget(down_s=down_s, reused=reused):
                await fleet.crash(seat, down_s, reused=reused)
            case faults.ReplaceTarget():
                await fleet.replace(seat)
