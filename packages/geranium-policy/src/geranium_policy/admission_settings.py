"""Admission policies, queue limits and settings."""

import dataclasses
from typing import TypeAlias

from .consumption import ConsumptionSettings
from .limits import FixedLimit, Limit
from .queues import TokenPrices
from .rates import MeanSettings, RateSettings


@dataclasses.dataclass(frozen=True, slots=True)
class FirstCome:
    """Baseline: serve requests of all teams in order of arrival."""


@dataclasses.dataclass(frozen=True, slots=True)
class PerHostLimits:
    """Baseline: order of arrival, with a limit for each team on this host."""

    max_running_cost: float = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class FairShares:
    """Serve the team with the least consumption relative to its weight.

    Args:
        across_daemons: Whether cost served by peers counts, so that a team
            that calls many hosts gets a single share. Otherwise shares are
            fair on each host separately.
        max_lead: Maximum cost by which a previously underserved team is
            preferred.
    """

    across_daemons: bool = True
    max_lead: float = 500_000


AdmissionPolicy: TypeAlias = FirstCome | PerHostLimits | FairShares


@dataclasses.dataclass(frozen=True, slots=True)
class QueueBounds:
    """Limits of a service's queue on one daemon.

    Args:
        max_length: Maximum number of queued requests.
        max_team_length: Maximum number of queued requests of one team.
        aging_s: Waiting time that offsets one priority level.
        refuse_early: Whether a request is refused on arrival if its first
            token is not expected in time.
        max_service_share: Upper bound of the expected time from admission to
            first token, as a share of the time to the deadline.
        retry_jitter: Maximum random increase of ``retry_after_s``, as a share
            of it, so that refused callers don't retry simultaneously.
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
