"""Contracts: capacity that is paid for whether it is used or not."""

import dataclasses

from .targets import Purchase


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """A commitment to pay for targets of a service in a zone.

    ``committed`` targets are paid for in any case. Further targets, up to
    ``maximum`` in total, can be ordered at ``hourly_price`` each.
    """

    service: str
    zone: str
    purchase: Purchase
    committed: int
    maximum: int
    hourly_price: float
