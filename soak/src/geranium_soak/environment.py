"""The environment of a run: hosts, store, provider, targets, catalogue."""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib
import random
from collections.abc import AsyncIterator, Iterable, Sequence
from http import HTTPStatus

from aiohttp import web
from geranium_platform_standins import (
    CALL_SERVICE,
    LOOPBACK,
    PROMPT_SERVICE,
    CatalogueDraft,
    DutyCall,
    Faults,
    StandinCloud,
    StandinStore,
)
from geranium_standins.faults import RelayFaults, RelayMode
from geranium_standins.host_links import CutMode
from geranium_standins.loopback_networks import LoopbackNetwork
from geranium_standins.relay_server import Relay

from .bounds import Bounds
from .fault_stack import FaultStack
from .faults import LinkFault, StoreFault
from .fleet import TargetFleet, targets_ip
from .host_process import HostProcess, allocate_host
from .observations import STORE, Change, Ledger, now
from .recorders import TargetRecorder, provider_call
from .target_links import TargetLinks, split_address

ZONES = ('a', 'b', 'c')
CATALOGUE_KIND = 'config'
HOSTS_PART = 1  # of the run's network, for up to 254 hosts
RESTORE_OUTAGE_S = 0.3
SLOW_RESPONSE_S = 0.4  # longer than a host waits for a read of the store
LATE_WRITE_S = (1.0, 6.0)  # until a write takes effect whose response is lost
STAGES = ('prefill', 'decode', 'decode')  # of successive engines, in turn


BOUNDS = Bounds()


@dataclasses.dataclass(frozen=True, slots=True)
class EnvironmentSettings:
    """The size and the settings of an environment.

    Args:
        hosts: Number of host processes.
        calls: Number of application targets.
        engines: Number of engines.
        folder: Folder for settings files and logs.
        program: Arguments with which the interpreter runs a host.
        skews_s: Wall clock offsets, assigned to the hosts in turn.
        bounds: Bounds in the hosts' settings.
        timeouts_ms: Timeouts of further routes, each with one of each kind.
    """

    hosts: int
    calls: int
    engines: int
    folder: pathlib.Path
    program: Sequence[str]
    skews_s: tuple[float, ...]
    bounds: Bounds = BOUNDS
    timeouts_ms: tuple[int, ...] = ()


class Environment:
    """The stand-ins and the hosts of one run.

    Args:
        settings: Size and settings.
        source: Source of the stand-ins' random behaviour.
    """

    def __init__(
        self, settings: EnvironmentSettings, source: random.Random
    ) -> None:
        self.settings = settings
        self.ledger = Ledger()
        self.hosts: list[HostProcess] = []
        self.key_by_team = {f'team-{zone}': f'key-{zone}-0' for zone in ZONES}
        self.withdrawn: list[tuple[str, str]] = []
        self.version = 0
        self._source = source
        self._store = StandinStore()
        self._network = LoopbackNetwork()
        self._provider = _RecordingProvider(self.ledger)
        self.fleet = TargetFleet(
            self._store,
            TargetRecorder(self.ledger),
            self.ledger,
            source,
            self._link_target,
            self._network,
        )
        self._store_faults = FaultStack(self._apply_to_store, Faults())
        self._link_faults_by_host: dict[str, FaultStack[RelayFaults]] = {}
        self._links: list[Relay] = []
        self._target_links_by_host: dict[str, TargetLinks] = {}
        self._key_numbers = itertools.count(1)

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Start the environment and stop it at the end of the context."""
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self._network)
            stack.push_async_callback(self._close)
            store = await _serve(stack, self._store.application())
            provider = await _serve(stack, self._provider.application())
            await self._add_targets()
            self.publish()
            for number in range(self.settings.hosts):
                await self._add_host(number, store, provider)
            yield

    def publish(self, *withdrawn: str) -> None:
        """Write a new version of the catalogue."""
        self.version += 1
        draft = CatalogueDraft(
            self.version,
            {team: (key,) for team, key in self.key_by_team.items()},
            ZONES,
            self.settings.timeouts_ms,
        )
        self._store.put(CATALOGUE_KIND, 'main', draft.document())
        change = Change(self.version, now(), frozenset(withdrawn))
        self.ledger.changes.append(change)

    def withdraw_key(self) -> None:
        """Replace a team's key and publish the change."""
        team = self._source.choice(sorted(self.key_by_team))
        number = next(self._key_numbers)
        old = self.key_by_team[team]
        self.withdrawn.append((team, old))
        self.key_by_team[team] = f'key-{team}-{number}'
        self.publish(old)

    async def inject_store_fault(self, fault: StoreFault, for_s: float) -> None:
        """Inject a fault of the store for ``for_s`` seconds."""
        began_at = now()
        injecting = self._store_faults.hold(
            _draw_store_faults(fault, self._source),
            for_s,
        )
        if fault is StoreFault.ENTRIES_LAPSED:
            # Live targets write their entries again after the outage.
            await asyncio.gather(injecting, self.fleet.drop_entries(for_s))
        else:
            await injecting
        self.ledger.record_disruption(fault.value, STORE, began_at)

    async def restore_store(self, lost_s: float, gap_s: float) -> None:
        """Take the store away and bring it back from a copy.

        Args:
            lost_s: Age of the copy; what is written in this time is lost.
            gap_s: Time until operators and targets write again.
        """
        saved = self._store.save_copy()
        await asyncio.sleep(lost_s)
        began_at = now()
        unavailable = Faults(status=HTTPStatus.SERVICE_UNAVAILABLE)
        await self._store_faults.hold(unavailable, RESTORE_OUTAGE_S)
        self._store.restore_copy(saved)
        await asyncio.sleep(gap_s)
        self._store.write_again()
        self.ledger.record_disruption('store restored', STORE, began_at)

    async def cut_store_link(
        self,
        host: HostProcess,
        fault: LinkFault,
        for_s: float,
    ) -> None:
        """Disrupt the link of a host to the store for ``for_s`` seconds."""
        began_at = now()
        switches = RelayFaults(RelayMode(fault.value))
        await self._link_faults_by_host[host.name].hold(switches, for_s)
        self.ledger.record_disruption(
            f'store link {fault.value}', host.name, began_at
        )

    async def cut_hosts(
        self, hosts: Iterable[HostProcess], mode: CutMode, for_s: float
    ) -> None:
        """Cut hosts from all targets for ``for_s`` seconds."""
        await asyncio.gather(
            *(
                self._target_links_by_host[host.name].cut(mode, for_s)
                for host in hosts
            )
        )

    async def _link_target(self, address: str, port: int) -> None:
        for links in self._target_links_by_host.values():
            await links.add((address, port))

    def _apply_to_store(self, faults: Faults) -> None:
        self._store.faults = faults

    async def _add_targets(self) -> None:
        zones = itertools.cycle(ZONES)
        stages = itertools.cycle(STAGES)
        for _ in range(self.settings.calls):
            await self.fleet.add(CALL_SERVICE, next(zones), None)
        for _ in range(self.settings.engines):
            await self.fleet.add(PROMPT_SERVICE, next(zones), next(stages))

    async def _add_host(self, number: int, store: str, provider: str) -> None:
        skews = self.settings.skews_s
        links = TargetLinks(number, self.ledger, self._network)
        options = '--clock-offset', str(skews[number % len(skews)])
        program = (
            *self.settings.program,
            *options,
            '--links',
            links.local_ip,
            '--targets',
            targets_ip(self._network),
        )
        spec = allocate_host(
            number,
            ZONES[number % len(ZONES)],
            self._network.address(HOSTS_PART, number + 1),
            program,
        )
        host = HostProcess(spec, self.settings.folder, self.ledger)
        link = Relay(*split_address(store))
        self._links.append(link)
        self._link_faults_by_host[host.name] = FaultStack(
            link.set_faults,
            RelayFaults(),
        )
        self.hosts.append(host)
        self._target_links_by_host[host.name] = links
        self.ledger.host_by_address[links.source_ip] = host.name
        for endpoint in self.fleet.endpoints:
            await links.add(split_address(endpoint.address))
        await host.start(
            {
                'nodeName': spec.name,
                'ip': spec.address,
                'zone': spec.zone,
                'internalPorts': [spec.peers_port, spec.peers_port],
                'bootstrap': True,
                'listen': {
                    'front': spec.front,
                    'ready': spec.ready,
                    'directory': spec.directory,
                    'metricsPort': spec.metrics_port,
                },
                'bounds': self.settings.bounds.settings(),
                'platform': {'address': await link.start(LOOPBACK, 0)},
                'cloud': {'address': provider},
            },
        )

    async def _close(self) -> None:
        await asyncio.gather(*(host.close() for host in self.hosts))
        await self.fleet.close()
        for link in self._links:
            await link.stop()
        for links in self._target_links_by_host.values():
            await links.close()


class _RecordingProvider(StandinCloud):
    """Records each call in the ledger on arrival."""

    def __init__(self, ledger: Ledger) -> None:
        super().__init__()
        self._ledger = ledger

    def record(self, call: DutyCall) -> None:
        """Record a call."""
        super().record(call)
        self._ledger.provider_calls.append(provider_call(call))


def _draw_store_faults(fault: StoreFault, source: random.Random) -> Faults:
    match fault:
        case StoreFault.BUSY | StoreFault.ENTRIES_LAPSED:
            return Faults(status=HTTPStatus.SERVICE_UNAVAILABLE)
        case StoreFault.LIMITED:
            return Faults(status=HTTPStatus.TOO_MANY_REQUESTS)
        case StoreFault.SLOW:
            return Faults(delay_s=SLOW_RESPONSE_S)
        case StoreFault.ANSWERS_LOST:
            late = Faults(write_delay_s=source.uniform(*LATE_WRITE_S))
            return source.choice((Faults(loses_answers=True), late))
        case _:
            return Faults(history_gone=True)


async def _serve(
    stack: contextlib.AsyncExitStack,
    application: web.Application,
) -> str:
    runner = web.AppRunner(application, shutdown_timeout=0)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, LOOPBACK, 0).start()
    host, port = runner.addresses[0][:2]
    return f'{host}:{port}'
