"""The catalogue: which routes, services, teams and limits are in force."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping


class RouteKind(enum.Enum):
    """How a route's requests may be repeated and how they are answered."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service that gets a part of a route's requests.

    ``weight`` is relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and their terms.

    Args:
        name: Unique in the catalogue.
        host: Value of the ``Host`` header without its port.
        prefix: Beginning of the path, with a slash at both ends.
        kind: See :class:`RouteKind`.
        resumable: Whether a stream may go on at another target.
        timeout_s: A request is answered by then, counted from its arrival.
        target_latency_s: An answer is on time up to this.
        target_gap_s: The longest pause between events that is on time.
        priority: 0 is the most urgent.
        max_attempts: Targets that may run one request.
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
    """What all model engines of a service have in common.

    Args:
        slots: Requests that run at once on one engine.
        kv_tokens: Tokens that an engine's memory holds.
    """

    slots: int
    kv_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PurchaseTerms:
    """Under which terms targets of a service can be ordered.

    Args:
        least: Targets of a zone that have to be kept.
        most: Targets of a zone that can be had, of both kinds together.
        price_by_zone: Price of a target a second.
    """

    least: int
    most: int
    price_by_zone: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of alike targets.

    ``engine`` is ``None`` for plain applications, ``purchase`` where targets
    can't be ordered.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None
    purchase: PurchaseTerms | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send and how long they may stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team; ``priority`` goes before the route's where it is given."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of everything that operators configure.

    ``has_teams`` tells whether requests to routes that are not public need
    a key.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    teams_by_key: Mapping[str, Team]
    has_teams: bool
    limits: Limits


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for of_host in self._routes_by_host.values():
            of_host.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
