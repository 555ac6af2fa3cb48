"""The targets of a run and their entries in the store."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable

from aiohttp import web
from geranium_platform_standins import (
    PROMPT_SERVICE,
    RequestObserver,
    SimulatedTarget,
    SimulatedTargetFaults,
    StandinStore,
    free_ports,
)
from geranium_standins.faults import RelayFaults, RelayMode
from geranium_standins.loopback_networks import LoopbackNetwork
from geranium_standins.relay_server import Relay
from geranium_standins.settings import MS_PER_S

from .endpoints import EndpointEntries, TargetEndpoint
from .fault_stack import FaultStack
from .faults import LinkFault, TargetFault
from .observations import Ledger, now

TARGETS_PART = 2  # of the run's network
ENTRY_TTL_S = 1.5  # time that an entry outlives a crashed target
VERSIONS = ('v1', 'v2')  # of the software of successive targets, by pairs
LEAVING_STEP_S = 3.5  # a leaving target keeps, then lacks, its entry


class TargetFleet:
    """Starts, stops and replaces targets, and injects their faults.

    Args:
        store: Holds the targets' entries.
        observer: Called for each request at a target.
        ledger: Records faults and leaving targets.
        source: Source of the targets' random behaviour.
        on_add: Called with the address of each endpoint before its target
            starts.
        network: The addresses of the run, claimed before targets are added.
    """

    def __init__(
        self,
        store: StandinStore,
        observer: RequestObserver,
        ledger: Ledger,
        source: random.Random,
        on_add: Callable[[str, int], Awaitable[None]],
        network: LoopbackNetwork,
    ) -> None:
        self.endpoints: list[TargetEndpoint] = []
        self._entries = EndpointEntries(store)
        self._on_add = on_add
        self._network = network
        self._observer = observer
        self._ledger = ledger
        self._source = source
        self._numbers = itertools.count(1)
        self._prompts_by_handle: dict[str, str] = {}
        self._link_faults_by_endpoint: dict[str, FaultStack[RelayFaults]] = {}

    async def add(
        self, service: str, zone: str, stage: str | None
    ) -> TargetEndpoint:
        """Start a target at an address of its own."""
        # Outgoing connections use another local address, so they can't take
        # the port while no target listens on it.
        own_ip, relays_ip = _own_ip(self._network), targets_ip(self._network)
        port = free_ports(1, own_ip)[0]
        relay = Relay(own_ip, port, keeps_source=True)
        address = await relay.start(relays_ip, 0)
        await self._on_add(relays_ip, int(address.rpartition(':')[2]))
        endpoint = TargetEndpoint(zone, stage, service, relay, address, port)
        self.endpoints.append(endpoint)
        self._link_faults_by_endpoint[endpoint.name] = FaultStack(
            relay.set_faults,
            RelayFaults(),
        )
        await self._start_target(endpoint)
        return endpoint

    async def close(self) -> None:
        """Stop all targets."""
        for endpoint in self.endpoints:
            await self._stop_target(endpoint)
            await endpoint.relay.stop()

    async def cut(
        self, endpoint: TargetEndpoint, fault: LinkFault, for_s: float
    ) -> None:
        """Disrupt the link to a target for ``for_s`` seconds."""
        await self._apply_link_faults(
            endpoint, RelayFaults(RelayMode(fault.value)), for_s
        )

    async def delay_link(
        self, endpoint: TargetEndpoint, delay_ms: int, for_s: float
    ) -> None:
        """Delay the bytes to and from a target for ``for_s`` seconds."""
        await self._apply_link_faults(
            endpoint, RelayFaults(delay_ms=delay_ms), for_s
        )

    async def inject_fault(
        self,
        endpoint: TargetEndpoint,
        faults: SimulatedTargetFaults,
        what: str,
        for_s: float,
    ) -> None:
        """Inject faults of a target for ``for_s`` seconds."""
        target = endpoint.target
        if target is None:
            return
        began_at = now()
        target.faults = faults
        await asyncio.sleep(for_s)
        target.faults = SimulatedTargetFaults()
        self._record_disruption(what, endpoint, began_at)

    async def announce_departure(
        self, endpoint: TargetEndpoint, listed_s: float
    ) -> None:
        """Let a target announce its stop for a time, then replace it."""
        target = endpoint.target
        if target is None:
            return
        target.announces_departure = True
        await asyncio.sleep(listed_s)
        if endpoint.target is target:
            await self.replace(endpoint)

    async def crash(
        self, endpoint: TargetEndpoint, down_s: float, *, reused: bool
    ) -> None:
        """Stop a target at once and start another at its address."""
        target = endpoint.target
        if target is None:
            return
        began_at = now()
        endpoint.target = None
        await self._stop_target(endpoint)
        await asyncio.sleep(min(ENTRY_TTL_S, down_s))
        self._entries.remove(target.identity)
        await asyncio.sleep(max(down_s - ENTRY_TTL_S, 0))
        if reused and endpoint.stage is None and self._has_other(endpoint):
            endpoint.service = PROMPT_SERVICE
            endpoint.stage = 'decode'
        await self._start_target(endpoint)
        self._record_disruption('crashed', endpoint, began_at)

    async def replace(self, endpoint: TargetEndpoint) -> None:
        """Start another target of the same kind and let the old one leave."""
        target = endpoint.target
        if target is None:
            return
        endpoint.target = None
        await self.add(endpoint.service, endpoint.zone, endpoint.stage)
        self._entries.publish(endpoint, target, leaving=True)
        self._ledger.left_at_by_target[target.identity] = now()
        await asyncio.sleep(LEAVING_STEP_S)
        self._entries.remove(target.identity)
        await asyncio.sleep(LEAVING_STEP_S)
        await self._stop_target(endpoint)

    async def drop_entries(self, for_s: float) -> None:
        """Remove all entries for a time, as they expire in a store outage."""
        for endpoint in self.active():
            if endpoint.target is not None:
                self._entries.remove(endpoint.target.identity)
        await asyncio.sleep(for_s)
        for each in self.active():
            if each.target is not None:
                self._entries.publish(each, each.target)

    def active(self) -> list[TargetEndpoint]:
        """Return the endpoints whose target is up and not leaving."""
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.target is not None
        ]

    def _has_other(self, endpoint: TargetEndpoint) -> bool:
        return any(
            other.service == endpoint.service
            for other in self.active()
            if other is not endpoint
        )

    async def _start_target(self, endpoint: TargetEndpoint) -> None:
        number = next(self._numbers)
        target = SimulatedTarget(
            f'i-{number}',
            endpoint.service,
            self._observer,
            self._prompts_by_handle,
            self._source,
            VERSIONS[number // len(VERSIONS) % len(VERSIONS)],
        )
        application = target.application(streams=endpoint.stage is not None)
        endpoint.runner = await _bind(
            application, _own_ip(self._network), endpoint.port
        )
        endpoint.born_ms = int(time.time() * MS_PER_S)
        endpoint.target = target
        self._ledger.endpoint_by_target[target.identity] = endpoint.name
        self._entries.publish(endpoint, target)

    async def _stop_target(self, endpoint: TargetEndpoint) -> None:
        runner = endpoint.runner
        endpoint.runner = None
        if runner is not None:
            await runner.cleanup()

    async def _apply_link_faults(
        self,
        endpoint: TargetEndpoint,
        faults: RelayFaults,
        for_s: float,
    ) -> None:
        began_at = now()
        await self._link_faults_by_endpoint[endpoint.name].hold(faults, for_s)
        self._record_disruption(faults.mode.value, endpoint, began_at)

    def _record_disruption(
        self, what: str, endpoint: TargetEndpoint, began_at: float
    ) -> None:
        self._ledger.record_disruption(
            f'target {what}', endpoint.name, began_at
        )


def targets_ip(network: LoopbackNetwork) -> str:
    """Return the address at which the hosts of a run reach all targets."""
    return network.address(TARGETS_PART, 2)


def _own_ip(network: LoopbackNetwork) -> str:
    """Return the address of the targets behind their relays."""
    return network.address(TARGETS_PART, 1)


def simulated_target_faults(
    fault: TargetFault, share: float
) -> SimulatedTargetFaults:
    """Return the settings of the stand-in that produce a fault."""
    return SimulatedTargetFaults(
        share,
        loses_answers=fault is TargetFault.ANSWERS_LOST,
        fails=fault is TargetFault.ERRORS,
        breaks_off=fault is TargetFault.BROKEN_OFF,
        refuses=fault is TargetFault.REFUSES,
        mute=fault is TargetFault.MUTE,
        adds_bytes=fault is TargetFault.EXTRA_BYTES,
    )


async def _bind(
    application: web.Application, ip: str, port: int
) -> web.AppRunner:
    runner = web.AppRunner(
        application,
        shutdown_timeout=0,
        handler_cancellation=True,
    )
    await runner.setup()
    site = web.TCPSite(runner, ip, port, reuse_address=True)
    await site.start()
    return runner
