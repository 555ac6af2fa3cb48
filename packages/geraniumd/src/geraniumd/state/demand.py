"""Demand forecasts of services, summed over all daemons."""

import dataclasses

from geranium_coordination import Clock
from geranium_model import ModelService
from geranium_policy import (
    DemandForecast,
    EngineSpeed,
    ForecastSettings,
    RequestProfile,
    RoleDemand,
)

_PEER_TIMEOUT_S = 3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerDemand:
    demand_by_service: dict[str, RoleDemand]
    deadline: float


class ServiceDemands:
    """Keeps this daemon's forecasts and the latest ones of its peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._forecasts_by_service: dict[str, DemandForecast] = {}
        self._peer_demand_by_host: dict[str, _PeerDemand] = {}

    def record(
        self,
        service: ModelService,
        profile: RequestProfile,
    ) -> None:
        """Record a request that this daemon received."""
        now = self._clock.now()
        forecast = self._forecasts_by_service.get(service.name)
        if forecast is None:
            forecast = DemandForecast(
                ForecastSettings(
                    between_tokens_objective_s=(
                        service.between_tokens_ms / _MS_PER_S
                    ),
                ),
                EngineSpeed(),
                now,
            )
            self._forecasts_by_service[service.name] = forecast
        forecast.record(profile, profile.prompt_tokens, now)

    def update(
        self, host: str, demand_by_service: dict[str, RoleDemand]
    ) -> None:
        """Store a peer's forecasts until they time out."""
        deadline = self._clock.now() + _PEER_TIMEOUT_S
        self._peer_demand_by_host[host] = _PeerDemand(
            demand_by_service, deadline
        )

    def local(self) -> dict[str, RoleDemand]:
        """Return this daemon's forecasts by service."""
        now = self._clock.now()
        return {
            service: forecast.demand(now)
            for service, forecast in self._forecasts_by_service.items()
        }

    def total(self, service: str) -> RoleDemand:
        """Return a service's forecast summed over daemons not timed out."""
        now = self._clock.now()
        parts = [self.local().get(service, _NONE)]
        for peer in self._peer_demand_by_host.values():
            if peer.deadline > now:
                parts.append(peer.demand_by_service.get(service, _NONE))
        return RoleDemand(
            prefill=sum(part.prefill for part in parts),
            decode=sum(part.decode for part in parts),
        )


_NONE = RoleDemand(0, 0)
