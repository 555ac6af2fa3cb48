"""Which team a request runs for, and whether its route takes it."""

import dataclasses
from collections.abc import Mapping
from http import HTTPStatus
from typing import TypeAlias

from geranium_model import (
    Configuration,
    Key,
    NotRun,
    Route,
    Service,
    UnknownNameError,
    key_digest,
)

ANONYMOUS_TEAM = ''
_BEARER = 'bearer '


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """The digest of the key that a request carried, if it carried one."""

    sha256: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request may run: for this team, on this service by this route.

    ``key_id`` is empty if the request carried no key.
    """

    team: str
    key_id: str
    service: Service
    route: Route


AccessDecision: TypeAlias = Grant | NotRun

_NO_KEY = NotRun(
    HTTPStatus.UNAUTHORIZED,
    'Key not accepted',
    'The request carries no key that is in force.',
)
_NO_ROUTE = NotRun(
    HTTPStatus.NOT_FOUND,
    'No such route',
    'No route of this service takes the method and path.',
)


def read_credentials(headers: Mapping[str, str]) -> Credentials:
    """Return the digest of the bearer key in the headers."""
    authorization = headers.get('Authorization', '')
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return Credentials(None)
    return Credentials(key_digest(authorization[len(_BEARER) :].strip()))


def decide_access(
    configuration: Configuration,
    credentials: Credentials,
    service: str,
    method: str,
    path: str,
) -> AccessDecision:
    """Decide by the configuration in force whether a request may run.

    A caller without a key in force learns nothing about what exists: only
    routes that are open to all show without one.
    """
    key = find_key(configuration, credentials)
    route = configuration.route_for(service, method, path)
    if route is not None and route.open_to_all:
        team = key.team if key else ANONYMOUS_TEAM
        key_id = key.key_id if key else ''
        return Grant(team, key_id, configuration.service(service), route)
    if key is None:
        return _NO_KEY
    return _grant(configuration, key, service, route)


def find_key(
    configuration: Configuration,
    credentials: Credentials,
) -> Key | None:
    """Return the key in force that the credentials stand for."""
    if credentials.sha256 is None:
        return None
    return configuration.keys_by_sha256.get(credentials.sha256)


def _grant(
    configuration: Configuration,
    key: Key,
    service: str,
    route: Route | None,
) -> AccessDecision:
    try:
        found = configuration.service(service)
    except UnknownNameError:
        return NotRun(
            HTTPStatus.NOT_FOUND,
            'No such service',
            f'No service is named {service!r}.',
        )
    if route is None or not route.admits(key.team):
        return _NO_ROUTE
    return Grant(key.team, key.key_id, found, route)
