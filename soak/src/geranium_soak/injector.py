"""Injects the faults of a plan into an environment."""

import asyncio
import random

from geranium_platform_standins import SimulatedTargetFaults

from . import faults
from .endpoints import TargetEndpoint
from .environment import Environment
from .fleet import simulated_target_faults
from .observations import now
from .plans import Step
from .service_fault_injector import ServiceFaultInjector
from .service_faults import FillTargets, SilenceTargets, SlowPrefill
from .target_links import CutHosts

SETTINGS_LINE = 'extraField{number} = {number}'  # hosts ignore unknown fields


class Injector:
    """Starts each fault at its time and chooses the affected components.

    Args:
        environment: The hosts, targets and store of the run.
        source: Chooses hosts and targets.
    """

    def __init__(self, environment: Environment, source: random.Random) -> None:
        self._environment = environment
        self._source = source
        self._service_faults = ServiceFaultInjector(environment, source)
        self._reloads = 0

    async def run(self, steps: tuple[Step, ...]) -> None:
        """Inject all faults and return when the last one is over."""
        began_at = now()
        async with asyncio.TaskGroup() as group:
            for step in steps:
                left_s = began_at + step.at_s - now()
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
                await self._inject_host_fault(fault)
            case faults.HarmStore(fault=injected, for_s=for_s):
                await self._environment.inject_store_fault(injected, for_s)
            case faults.RestoreStore(lost_s=lost_s, gap_s=gap_s):
                await self._environment.restore_store(lost_s, gap_s)
            case faults.ChangeCatalogue(count=count, gap_s=gap_s):
                for _ in range(count):
                    self._environment.publish()
                    await asyncio.sleep(gap_s)
            case CutHosts():
                await self._cut_hosts(fault)
            case faults.WithdrawKey():
                self._environment.withdraw_key()
            case _:
                await self._inject_target_or_service_fault(fault)

    async def _cut_hosts(self, fault: CutHosts) -> None:
        chosen = self._source.choice(self._environment.hosts)
        hosts = [
            host
            for host in self._environment.hosts
            if host is chosen
            or (fault.whole_zone and host.spec.zone == chosen.spec.zone)
        ]
        await self._environment.cut_hosts(hosts, fault.mode, fault.for_s)

    async def _inject_host_fault(self, fault: faults.Fault) -> None:
        host = self._source.choice(self._environment.hosts)
        match fault:
            case faults.KillHosts(count=count):
                for each in self._source.sample(self._environment.hosts, count):
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
                await self._environment.cut_store_link(host, link, for_s)

    async def _inject_target_or_service_fault(
        self, fault: faults.Fault
    ) -> None:
        match fault:
            case SilenceTargets() | FillTargets() | SlowPrefill():
                await self._service_faults.inject(fault)
            case _:
                await self._inject_target_fault(fault)

    async def _inject_target_fault(self, fault: faults.Fault) -> None:
        fleet = self._environment.fleet
        active = fleet.active()
        if not active:
            return
        endpoint = self._source.choice(active)
        match fault:
            case faults.CutTargetLink(fault=link, for_s=for_s):
                await fleet.cut(endpoint, link, for_s)
            case faults.DelayTargetLink(delay_ms=delay_ms, for_s=for_s):
                await fleet.delay_link(endpoint, delay_ms, for_s)
            case faults.HarmTarget(fault=injected, share=share, for_s=for_s):
                await fleet.inject_fault(
                    endpoint,
                    simulated_target_faults(injected, share),
                    injected.value,
                    for_s,
                )
            case faults.AskForPause() | faults.NameLimit():
                await self._inject_notice(fault, endpoint)
            case faults.AnnounceDeparture(listed_s=listed_s):
                await fleet.announce_departure(endpoint, listed_s)
            case faults.CrashTarget(down_s=down_s, reused=reused):
                await fleet.crash(endpoint, down_s, reused=reused)
            case faults.ReplaceTarget():
                await fleet.replace(endpoint)

    async def _inject_notice(
        self,
        fault: faults.AskForPause | faults.NameLimit,
        endpoint: TargetEndpoint,
    ) -> None:
        fleet = self._environment.fleet
        match fault:
            case faults.AskForPause(pause_s=pause_s, share=share):
                notices = SimulatedTargetFaults(
                    share, refuses=True, pause_s=pause_s
                )
                what = 'paused'
            case faults.NameLimit(per_s=per_s):
                notices = SimulatedTargetFaults(limit_per_s=per_s)
                what = 'limited'
        await fleet.inject_fault(endpoint, notices, what, fault.for_s)
