"""The catalogue of routes, services, teams and limits."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from geranium_policy.team_quotas import QuotaLimit


class RouteKind(enum.Enum):
    """Whether a route's requests may be repeated, and how it responds."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service that receives a share of a route's requests.

    ``weight`` is relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Target services and limits for requests of a host and path prefix.

    Args:
        name: Unique in the catalogue.
        host: Value of the ``Host`` header without its port.
        prefix: Beginning of the path, with a slash at both ends.
        kind: See :class:`RouteKind`.
        resumable: Whether a stream may continue on another target.
        timeout_s: Maximum time from a request's arrival to its response.
        target_latency_s: Latency objective of a response.
        target_gap_s: Objective for the longest pause between events.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of targets that may run one request.
        public: Whether requests need no key.
        shares: The services, at least one.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    resumable: bool
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    max_attempts: int
    public: bool
    shares: tuple[Share, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Properties shared by all model engines of a service.

    Args:
        slots: Concurrent requests on one engine.
        kv_tokens: Capacity of an engine's KV cache in tokens.
    """

    slots: int
    kv_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseTerms:
    """Terms for ordering targets of a service.

    Args:
        least: Minimum number of targets in a zone.
        most: Maximum number of targets in a zone, of both kinds together.
        price_by_zone: Price per target and second.
    """

    least: int
    most: int
    price_by_zone: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable targets.

    ``engine`` is ``None`` for plain applications, ``purchase`` if targets
    can't be ordered.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None
    purchase: PurchaseTerms | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of requests and on idle connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team.

    Args:
        name: Unique in the catalogue.
        priority: Overrides the route's, if it is set.
        quota: What all hosts together may have run for it; ``None`` for any
            amount.
    """

    name: str
    priority: int | None
    quota: QuotaLimit | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the configuration that operators write.

    ``has_teams`` is set if requests to routes that are not public need a
    key.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    teams_by_key: Mapping[str, Team]
    has_teams: bool
    limits: Limits


class RouteTable:
    """Finds the route for a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
