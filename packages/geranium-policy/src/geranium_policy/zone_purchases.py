"""How many targets of a service to order in each zone.

Answers a fleet that is billed by the second and swings of load that are
shorter than a target's start: reclaimable targets cost a fraction, so a zone
is filled with them beside the few that can't be taken away. A zone that loses
its reclaimable targets is filled with others until they are to be had again.
"""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class ZonePurchaseSettings:
    """How zones are filled.

    Args:
        firm_floor: Targets of a zone that can't be taken away.
        unavailable_s: After a refusal no reclaimable targets are ordered in
            a zone for so long.
    """

    firm_floor: int = 1
    unavailable_s: float = 3


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseBounds:
    """Fewest and most targets of a zone, of both kinds together."""

    least: int
    most: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneHoldings:
    """Targets of a zone that serve now, by kind."""

    firm: int
    reclaimable: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOrder:
    """Targets that a zone should have, by kind."""

    firm: int
    reclaimable: int


class ZonePurchases:
    """Decides the orders of one service."""

    def __init__(self, settings: ZonePurchaseSettings) -> None:
        self._settings = settings
        self._unavailable_until_by_zone: dict[str, float] = {}

    def note_unavailable(self, zone: str, now: float) -> None:
        """Note that no reclaimable target is to be had in a zone now."""
        until = now + self._settings.unavailable_s
        self._unavailable_until_by_zone[zone] = until

    def plan(
        self,
        bounds: PurchaseBounds,
        holdings_by_zone: Mapping[str, ZoneHoldings],
        now: float,
    ) -> dict[str, ZoneOrder]:
        """Return what each zone should have.

        Firm targets beyond the floor are kept until reclaimable ones fill
        the zone, and replaced then.
        """
        return {
            zone: self._plan_zone(zone, bounds, holdings, now)
            for zone, holdings in holdings_by_zone.items()
        }

    def _plan_zone(
        self,
        zone: str,
        bounds: PurchaseBounds,
        holdings: ZoneHoldings,
        now: float,
    ) -> ZoneOrder:
        floor = max(self._settings.firm_floor, bounds.least)
        wanted = max(bounds.most - floor, 0)
        if now < self._unavailable_until_by_zone.get(zone, 0):
            return ZoneOrder(max(holdings.firm, floor), holdings.reclaimable)
        if holdings.firm + holdings.reclaimable >= bounds.most:
            return ZoneOrder(floor, wanted)
        firm = max(min(holdings.firm, bounds.most - 1), floor)
        return ZoneOrder(firm, max(bounds.most - firm, 0))
