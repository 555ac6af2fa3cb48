"""How many targets of a service to order in each zone.

Answers a fleet that is billed by the second and swings of load that are
shorter than a target's start: reclaimable targets cost a fraction, so a zone
is filled with them beside the few that can't be taken away. A zone that loses
its reclaimable targets is filled with others until they are to be had again, and
then returned to reclaimable ones in steps, since each step costs capacity for
the time of a start.
"""

import dataclasses
import math
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class ZonePurchaseSettings:
    """How zones are filled.

    Args:
        firm_floor: Targets of a zone that can't be taken away.
        unavailable_s: After a refusal no reclaimable targets are ordered in
            a zone for so long.
        probe_places: Places of a zone that are left free meanwhile, so that
            an order shows whether reclaimable targets are to be had again.
        replaced_share: Part of a zone's places whose firm targets are
            replaced in one step while there is load.
    """

    firm_floor: int = 1
    unavailable_s: float = 3
    probe_places: int = 1
    replaced_share: float = 1 / 3


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
        self._filled_zones: set[str] = set()

    def note_unavailable(self, zone: str, now: float) -> None:
        """Note that no reclaimable target is to be had in a zone now."""
        until = now + self._settings.unavailable_s
        self._unavailable_until_by_zone[zone] = until

    def plan(
        self,
        bounds: PurchaseBounds,
        holdings_by_zone: Mapping[str, ZoneHoldings],
        now: float,
        *,
        idle: bool,
    ) -> dict[str, ZoneOrder]:
        """Return what each zone should have.

        Args:
            bounds: What may be ordered.
            holdings_by_zone: What serves now.
            now: The present instant in seconds.
            idle: Whether there is no load, so that targets may be replaced
                at once.
        """
        return {
            zone: self._plan_zone(
                zone,
                bounds,
                holdings,
                available=now >= self._unavailable_until(zone),
                idle=idle,
            )
            for zone, holdings in holdings_by_zone.items()
        }

    def _unavailable_until(self, zone: str) -> float:
        return self._unavailable_until_by_zone.get(zone, -math.inf)

    def _plan_zone(
        self,
        zone: str,
        bounds: PurchaseBounds,
        holdings: ZoneHoldings,
        *,
        available: bool,
        idle: bool,
    ) -> ZoneOrder:
        settings = self._settings
        floor = max(settings.firm_floor, bounds.least)
        if not available:
            self._filled_zones.add(zone)
        if holdings.reclaimable and available:
            self._filled_zones.discard(zone)
        if zone in self._filled_zones:
            firm = bounds.most - settings.probe_places - holdings.reclaimable
            probe = settings.probe_places if available else 0
            return ZoneOrder(max(floor, firm), holdings.reclaimable + probe)
        firm = max(min(holdings.firm, bounds.most - 1), floor)
        if idle:
            firm = floor
        elif holdings.firm + holdings.reclaimable >= bounds.most:
            step = max(round(bounds.most * settings.replaced_share), 1)
            firm = max(firm - step, floor)
        return ZoneOrder(firm, max(bounds.most - firm, 0))
