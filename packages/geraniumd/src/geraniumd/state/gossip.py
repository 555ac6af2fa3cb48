"""Traffic and load state that daemons exchange many times a minute."""

from collections.abc import Callable, Iterable, Mapping

from geranium_coordination import Clock
from geranium_policy import (
    ConsumptionReport,
    InFlight,
    SuspectRegister,
)

from ..hosts import EngineDispatch, Ping, ServiceConsumption, ServiceDemand
from .demand import ServiceDemands
from .fleet import Fleet

_PEER_TIMEOUT_S = 3


class Gossip:
    """Builds this daemon's updates for peers and applies theirs."""

    def __init__(
        self,
        fleet: Fleet,
        demand: ServiceDemands,
        suspects: SuspectRegister,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._demand = demand
        self._suspects = suspects
        self._clock = clock
        self._dispatches_by_peer: dict[str, _PeerDispatches] = {}
        self._consumption_by_service: dict[str, ConsumptionReport] = {}
        self._urgent_listeners: list[Callable[[], None]] = []
        self._consumers: list[Callable[[ServiceConsumption], None]] = []

    def notify_peers(self) -> None:
        """Send the current state to peers immediately."""
        for notify in self._urgent_listeners:
            notify()

    def add_urgent_listener(self, listener: Callable[[], None]) -> None:
        """Call the listener on each urgent update."""
        self._urgent_listeners.append(listener)

    def subscribe(
        self,
        consumer: Callable[[ServiceConsumption], None],
    ) -> None:
        """Call the consumer with each consumption report of a peer."""
        self._consumers.append(consumer)

    def publish(self, consumption: ServiceConsumption) -> None:
        """Include this consumption in updates for peers from now on."""
        self._consumption_by_service[consumption.service] = consumption.report

    def outgoing(self) -> Ping:
        """Return the current update for a peer."""
        return Ping(
            dispatches=tuple(
                EngineDispatch(
                    entry.name,
                    entry.view.local,
                    bool(entry.reservations),
                )
                for entry in self._fleet.engine_entries()
                if entry.view.local.requests or entry.reservations
            ),
            consumption=tuple(
                ServiceConsumption(service, report)
                for service, report in self._consumption_by_service.items()
                if report.large_by_team
            ),
            demand=tuple(
                ServiceDemand(service, demand)
                for service, demand in self._demand.local().items()
            ),
            crashes=self._suspects.notices(self._clock.now()),
        )

    def apply(self, host: str, ping: Ping) -> None:
        """Apply a peer's update."""
        now = self._clock.now()
        self._suspects.apply(ping.crashes, now)
        self._demand.update(
            host,
            {row.service: row.demand for row in ping.demand},
        )
        self._dispatches_by_peer[host] = _PeerDispatches(
            ping.dispatches,
            now + _PEER_TIMEOUT_S,
        )
        self._update_peer_dispatches(now)
        for consumption in ping.consumption:
            for consume in self._consumers:
                consume(consumption)

    def _update_peer_dispatches(self, now: float) -> None:
        self._dispatches_by_peer = {
            host: dispatches
            for host, dispatches in self._dispatches_by_peer.items()
            if dispatches.deadline > now
        }
        rows = [
            dispatch
            for dispatches in self._dispatches_by_peer.values()
            for dispatch in dispatches.rows
        ]
        in_flight_by_engine = _sum_by_engine(rows)
        reserved = {row.engine for row in rows if row.is_reserved}
        for entry in self._fleet.engine_entries():
            entry.view.peers = in_flight_by_engine.get(entry.name, InFlight())
            entry.reserved_by_peers = entry.name in reserved


class _PeerDispatches:
    """A peer's dispatches, valid until the deadline."""

    def __init__(
        self,
        rows: tuple[EngineDispatch, ...],
        deadline: float,
    ) -> None:
        self.rows = rows
        self.deadline = deadline


def _sum_by_engine(
    dispatches: Iterable[EngineDispatch],
) -> Mapping[str, InFlight]:
    in_flight_by_engine: dict[str, InFlight] = {}
    for dispatch in dispatches:
        total = in_flight_by_engine.setdefault(dispatch.engine, InFlight())
        total.requests += dispatch.in_flight.requests
        total.prefill_tokens += dispatch.in_flight.prefill_tokens
        total.kv_pieces += dispatch.in_flight.kv_pieces
    return in_flight_by_engine
