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
        min_on_demand: Targets of a zone that can't be taken away.
        unavailable_s: After a refusal no reclaimable targets are ordered in
            a zone for so long.
        probe_places: Places of a zone that are left free meanwhile, so that
            an order shows whether reclaimable targets are to be had again.
        replaced_share: Part of a zone's places whose on-demand targets are
            replaced in one step while there is load.
    """

    min_on_demand: int = 1
    unavailable_s: float = 3
    probe_places: int = 1
    replaced_share: float = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseBounds:
    """Fewest and most targets of a zone, of both kinds together."""

    least: int
    most: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneTargets:
    """Targets of a zone that serve now, by kind."""

    on_demand: int
    reclaimable: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOrder:
    """Targets that a zone should have, by kind."""

    on_demand: int
    reclaimable: int


class ZonePurchasePlanner:
    """Decides the orders of one service."""

    def __init__(self, settings: ZonePurchaseSettings) -> None:
        self._settings = settings
        self._unavailable_until_by_zone: dict[str, float] = {}
        self._filled_zones: set[str] = set()

    def record_unavailable(self, zone: str, now: float) -> None:
        """Note that no reclaimable target is to be had in a zone now."""
        until = now + self._settings.unavailable_s
        self._unavailable_until_by_zone[zone] = until

    def plan(
        self,
        bounds: PurchaseBounds,
        holdings_by_zone: Mapping[str, ZoneTargets],
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
        holdings: ZoneTargets,
        *,
        available: bool,
        idle: bool,
    ) -> ZoneOrder:
        settings = self._settings
        floor = max(settings.min_on_demand, bounds.least)
        if not available:
            self._filled_zones.add(zone)
        if holdings.reclaimable and available:
            self._filled_zones.discard(zone)
        if zone in self._filled_zones:
            on_demand = (
                bounds.most - settings.probe_places - holdings.reclaimable
            )
            probe = settings.probe_places if available else 0
            return ZoneOrder(
                max(floor, on_demand), holdings.reclaimable + probe
            )
        on_demand = max(min(holdings.on_demand, bounds.most - 1), floor)
        if idle:
            on_demand = floor
        elif holdings.on_demand + holdings.reclaimable >= bounds.most:
            step = max(round(bounds.most * settings.replaced_share), 1)
            on_demand = max(on_demand - step, floor)
        return ZoneOrder(on_demand, max(bounds.most - on_demand, 0))
