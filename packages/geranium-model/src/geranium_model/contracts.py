"""Contracts: the spend that is owed to the provider."""

import dataclasses

from .targets import Purchase


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """Targets of a service that are paid for, used or not.

    ``committed`` targets in the zone cost their price in any case; targets
    above it up to ``maximum`` may be ordered at ``hourly_price`` each.
    """

    service: str
    zone: str
    purchase: Purchase
    committed: int
    maximum: int
    hourly_price: float
