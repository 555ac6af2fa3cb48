"""Authenticates requests and checks them against routes."""

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
    """The SHA-256 digest of a request's key, ``None`` without one."""

    sha256: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission to run a request for a team on a service's route.

    ``key_id`` is empty if the request has no key in force.
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
    """Return the credentials in the ``Authorization`` header."""
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
    """Return whether a request may run under the given configuration.

    Without a key in force, only routes open to all are distinguishable: any
    other request gets the same refusal, so it reveals no service or route.
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
    """Return the key in force with the credentials' digest."""
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
    if route is None or not route.allows(key.team):
        return _NO_ROUTE
    return Grant(key.team, key.key_id, found, route)
