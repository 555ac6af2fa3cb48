"""Services and the routes to them."""

import dataclasses
from typing import TypeAlias

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'))


@dataclasses.dataclass(frozen=True, slots=True)
class ModelService:
    """A language model served by engines, with its latency objectives."""

    name: str
    model: str
    version: str
    first_token_ms: int = 560
    between_tokens_ms: int = 43


@dataclasses.dataclass(frozen=True, slots=True)
class ApplicationService:
    """A plain HTTP service served by application targets."""

    name: str


Service: TypeAlias = ModelService | ApplicationService


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Access to paths of a service, and whether calls are idempotent.

    Args:
        name: Unique name of the route.
        service: The service that it routes to.
        path: Prefix of the call's path, without the service's name.
        methods: HTTP methods that it matches; empty for all.
        repeatable: Whether its calls are idempotent; ``None`` to decide by
            the HTTP method.
        open_to_all: Whether a call needs no key.
        teams: Teams that may call it; empty for all.
    """

    name: str
    service: str
    path: str = '/'
    methods: frozenset[str] = frozenset()
    repeatable: bool | None = None
    open_to_all: bool = False
    teams: frozenset[str] = frozenset()

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route matches this method and path."""
        if self.methods and method not in self.methods:
            return False
        prefix = self.path.rstrip('/')
        return path == prefix or path.startswith(f'{prefix}/')

    def is_idempotent(self, method: str) -> bool:
        """Return whether a call with this method is idempotent."""
        if self.repeatable is None:
            return method in IDEMPOTENT_METHODS
        return self.repeatable

    def allows(self, team: str) -> bool:
        """Return whether the team may call this route."""
        return not self.teams or team in self.teams
