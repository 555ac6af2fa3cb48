"""Settings of admission: its policies and bounds."""

import dataclasses
from typing import TypeAlias

from .consumption import ConsumptionSettings
from .limits import FixedLimit, Limit
from .queues import TokenPrices
from .rates import MeanSettings, RateSettings


@dataclasses.dataclass(frozen=True, slots=True)
class FirstCome:
    """Baseline: in the order of arrival over all teams."""


@dataclasses.dataclass(frozen=True, slots=True)
class PerHostLimits:
    """Baseline: as they come, each team within a limit on this host."""

    max_running_cost: float = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class FairShares:
    """The team that was served least for its weight comes next.

    Args:
        across_daemons: Whether what peers have served is counted, so that a
            team that calls many hosts gets one share. Without it each host
            is fair by itself.
        max_lead: How much cost a team that was kept short may be preferred
            by afterwards.
    """

    across_daemons: bool = True
    max_lead: float = 500_000


AdmissionPolicy: TypeAlias = FirstCome | PerHostLimits | FairShares


@dataclasses.dataclass(frozen=True, slots=True)
class QueueBounds:
    """Bounds of a service's queue on one daemon.

    Args:
        max_length: Requests that may wait in all.
        max_team_length: Requests of one team that may wait.
        aging_s: A priority level is worth so much waiting.
        refuse_early: Whether a request is refused on arrival if its first
            token is not expected in time.
        max_service_share: So much of the time to the deadline is taken to
            pass between release and first token at most.
        retry_jitter: Random lengthening of ``retry_after_s``, so that
            refused callers don't come back at once.
    """

    max_length: int = 2048
    max_team_length: int = 512
    aging_s: float = 0.25
    refuse_early: bool = True
    max_service_share: float = 0.7
    retry_jitter: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of a service's queue; ``daemon`` is this daemon's name."""

    daemon: str
    policy: AdmissionPolicy = dataclasses.field(default_factory=FairShares)
    bounds: QueueBounds = dataclasses.field(default_factory=QueueBounds)
    prices: TokenPrices = dataclasses.field(default_factory=TokenPrices)
    limit: Limit = dataclasses.field(default_factory=FixedLimit)
    exchange: ConsumptionSettings = dataclasses.field(
        default_factory=ConsumptionSettings,
    )
    rate: RateSettings = dataclasses.field(default_factory=RateSettings)
    first_token: MeanSettings = dataclasses.field(
        default_factory=MeanSettings,
    )
    seed: int = 0
