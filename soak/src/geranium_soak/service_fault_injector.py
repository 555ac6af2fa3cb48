"""Injects faults of one or several targets of a service at once."""

import asyncio
import random

from geranium_platform_standins import SimulatedTargetFaults

from .endpoints import TargetEndpoint
from .environment import Environment
from .observations import now
from .service_faults import (
    FELL_SILENT,
    FULL,
    SLOW_PREFILL,
    FillTargets,
    ServiceFault,
    SilenceTargets,
    SlowPrefill,
)


class ServiceFaultInjector:
    """Injects faults of services.

    Args:
        environment: The targets of the run.
        source: Chooses services and targets.
    """

    def __init__(self, environment: Environment, source: random.Random) -> None:
        self._environment = environment
        self._source = source

    async def inject(self, fault: ServiceFault) -> None:
        """Inject a fault and return when it is over."""
        await asyncio.gather(
            *(
                self._inject_at(fault, endpoint)
                for endpoint in self._choose(fault.share)
            )
        )

    def _choose(self, share: float) -> list[TargetEndpoint]:
        """Return a share of the active endpoints of one service."""
        active = self._environment.fleet.active()
        if not active:
            return []
        service = self._source.choice(active).service
        alike = [endpoint for endpoint in active if endpoint.service == service]
        count = max(round(share * len(alike)), 1)
        return self._source.sample(alike, count)

    async def _inject_at(
        self, fault: ServiceFault, endpoint: TargetEndpoint
    ) -> None:
        match fault:
            case SilenceTargets(for_s=for_s):
                await self._silence(endpoint, for_s)
                return
            case FillTargets():
                switches = SimulatedTargetFaults(full=True)
                what = FULL
            case SlowPrefill(delay_s=delay_s):
                switches = SimulatedTargetFaults(prefill_delay_s=delay_s)
                what = SLOW_PREFILL
        await self._environment.fleet.inject_fault(
            endpoint, switches, what, fault.for_s
        )

    async def _silence(self, endpoint: TargetEndpoint, for_s: float) -> None:
        if endpoint.target is None:
            return
        began_at = now()
        await endpoint.target.silence.last(for_s)
        self._environment.ledger.record_disruption(
            f'target {FELL_SILENT}', endpoint.name, began_at
        )
