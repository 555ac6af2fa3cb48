"""Access control shared by the callers' endpoints."""

from http import HTTPStatus
from typing import TypeAlias

from aiohttp import web
from geranium_model import NotRun

from ..state import ConfigurationFollower
from .access import Grant, decide_access, read_credentials

_RETRY_AFTER_S = 1

_STALE = NotRun(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'Configuration not confirmed',
    'This host cannot tell whether the key is still in force; other hosts may.',
    retry_after_s=_RETRY_AFTER_S,
)

_WITHHELD = NotRun(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'Key may be withdrawn',
    'A withdrawal of the key is under way.',
    retry_after_s=_RETRY_AFTER_S,
)

AccessResult: TypeAlias = Grant | NotRun


class AccessControl:
    """Checks requests against the configuration in force."""

    def __init__(self, follower: ConfigurationFollower) -> None:
        self._follower = follower

    def check(
        self,
        request: web.Request,
        service: str,
        path: str,
    ) -> AccessResult:
        """Return the grant for a request, or a refusal.

        Called again right before a request is sent to a target, since its
        key may have been withdrawn while the request was queued.
        """
        credentials = read_credentials(request.headers)
        decision = decide_access(
            self._follower.configuration,
            credentials,
            service,
            request.method,
            path,
        )
        if isinstance(decision, NotRun) or decision.route.open_to_all:
            return decision
        if not self._follower.is_fresh():
            return _STALE
        if self._follower.replica.is_suspended(credentials.sha256 or ''):
            return _WITHHELD
        return decision
