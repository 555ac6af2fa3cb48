"""The configuration that every daemon runs with."""

import dataclasses
from collections.abc import Iterator, Mapping

from .contracts import Contract
from .exceptions import UnknownNameError
from .services import Route, Service
from .targets import Backend
from .teams import Key, Team
from .zones import Zone


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the whole configuration.

    Instances are immutable; a change creates a new one.
    """

    version: int = 0
    zones_by_name: Mapping[str, Zone] = dataclasses.field(default_factory=dict)
    services_by_name: Mapping[str, Service] = dataclasses.field(
        default_factory=dict,
    )
    targets_by_name: Mapping[str, Backend] = dataclasses.field(
        default_factory=dict,
    )
    teams_by_name: Mapping[str, Team] = dataclasses.field(default_factory=dict)
    keys_by_sha256: Mapping[str, Key] = dataclasses.field(default_factory=dict)
    routes_by_name: Mapping[str, Route] = dataclasses.field(
        default_factory=dict,
    )
    contracts: tuple[Contract, ...] = ()
    cordoned_zones: frozenset[str] = frozenset()

    def service(self, name: str) -> Service:
        """Return the service with this name.

        Raises:
            UnknownNameError: If it does not exist.
        """
        try:
            return self.services_by_name[name]
        except KeyError:
            raise UnknownNameError('service', name) from None

    def targets_of(self, service: str) -> Iterator[Backend]:
        """Yield the service's targets outside cordoned zones."""
        for target in self.targets_by_name.values():
            if target.service != service:
                continue
            if target.zone not in self.cordoned_zones:
                yield target

    def route_for(self, service: str, method: str, path: str) -> Route | None:
        """Return the matching route with the longest path, if any."""
        candidates = [
            route
            for route in self.routes_by_name.values()
            if route.service == service and route.matches(method, path)
        ]
        return max(
            candidates,
            key=lambda route: (len(route.path), route.name),
            default=None,
        )

    def may_call(self, team: str, service: str) -> bool:
        """Return whether any route of the service allows the team."""
        return any(
            route.service == service and route.allows(team)
            for route in self.routes_by_name.values()
        )
