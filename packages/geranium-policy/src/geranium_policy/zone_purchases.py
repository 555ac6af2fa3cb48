"""Purchase planning: the number of targets to order in each zone.

The design assumes a fleet that is billed by the second and load swings that
are shorter than a target's start. Reclaimable targets cost a fraction of
on-demand ones, so a zone is filled with them in addition to a minimum of
on-demand targets. A zone that loses its reclaimable targets is filled with
on-demand ones until reclaimable targets are available again. It then returns
to reclaimable targets in steps, since each step costs capacity until the new
targets have started.
"""

import dataclasses
import math
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class ZonePurchaseSettings:
    """Parameters of the purchase planning.

    Args:
        min_on_demand: Minimum number of on-demand targets in a zone, which
            can't be reclaimed.
        unavailable_s: Time after a refusal during which no reclaimable
            targets are ordered in a zone.
        probe_places: Places of a zone that are left free for reclaimable
            targets meanwhile. A later order for them shows whether
            reclaimable targets are available again.
        replaced_share: Share of a zone's places whose on-demand targets are
            replaced in one step under load.
    """

    min_on_demand: int = 1
    unavailable_s: float = 3
    probe_places: int = 1
    replaced_share: float = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseBounds:
    """Minimum and maximum number of targets of both kinds in a zone."""

    least: int
    most: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneTargets:
    """Numbers of serving targets in a zone, by kind."""

    on_demand: int
    reclaimable: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOrder:
    """Numbers of targets that a zone should have, by kind."""

    on_demand: int
    reclaimable: int


class ZonePurchasePlanner:
    """Plans the target orders of one service."""

    def __init__(self, settings: ZonePurchaseSettings) -> None:
        self._settings = settings
        self._unavailable_until_by_zone: dict[str, float] = {}
        self._on_demand_zones: set[str] = set()

    def record_unavailable(self, zone: str, now: float) -> None:
        """Record that a zone has no reclaimable targets available now."""
        until = now + self._settings.unavailable_s
        self._unavailable_until_by_zone[zone] = until

    def plan(
        self,
        bounds: PurchaseBounds,
        targets_by_zone: Mapping[str, ZoneTargets],
        now: float,
        *,
        idle: bool,
    ) -> dict[str, ZoneOrder]:
        """Return the targets that each zone should have.

        Args:
            bounds: Limits of the number of targets in a zone.
            targets_by_zone: Targets that serve now.
            now: Current time in seconds.
            idle: Whether there is no load, so that targets can be replaced
                all at once.
        """
        return {
            zone: self._plan_zone(
                zone,
                bounds,
                targets,
                available=now >= self._unavailable_until(zone),
                idle=idle,
            )
            for zone, targets in targets_by_zone.items()
        }

    def _unavailable_until(self, zone: str) -> float:
        return self._unavailable_until_by_zone.get(zone, -math.inf)

    def _plan_zone(
        self,
        zone: str,
        bounds: PurchaseBounds,
        targets: ZoneTargets,
        *,
        available: bool,
        idle: bool,
    ) -> ZoneOrder:
        settings = self._settings
        floor = max(settings.min_on_demand, bounds.least)
        if not available:
            self._on_demand_zones.add(zone)
        if targets.reclaimable and available:
            self._on_demand_zones.discard(zone)
        if zone in self._on_demand_zones:
            on_demand = (
                bounds.most - settings.probe_places - targets.reclaimable
            )
            probe = settings.probe_places if available else 0
            return ZoneOrder(max(floor, on_demand), targets.reclaimable + probe)
        on_demand = max(min(targets.on_demand, bounds.most - 1), floor)
        if idle:
            on_demand = floor
        elif targets.on_demand + targets.reclaimable >= bounds.most:
            step = max(round(bounds.most * settings.replaced_share), 1)
            on_demand = max(on_demand - step, floor)
        return ZoneOrder(on_demand, max(bounds.most - on_demand, 0))
