"""Requests as they arrive: their ids, priority and deadline."""

import dataclasses
import itertools
import re
import uuid
from collections.abc import Mapping
from http import HTTPStatus
from typing import TypeAlias

from geranium_coordination import Clock
from geranium_model import NotRun

from ..process import GatewaySettings

HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9
DEFAULT_PRIORITY = 5

_MS_PER_S = 1000
_REQUEST_ID_PATTERN = re.compile(r'[!-~]{1,128}')


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request that has just arrived.

    ``request_id`` is the caller's name for it, ``execution_id`` the
    daemon's own, which no other request has. Instants are in seconds of
    the monotonic clock.
    """

    request_id: str
    execution_id: str
    priority: int
    arrived_at: float
    deadline: float


IncomingRequestResult: TypeAlias = IncomingRequest | NotRun


class IncomingRequestReader:
    """Gives each request its ids and its deadline."""

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = uuid.uuid4().hex
        self._numbers = itertools.count(1)

    def read(self, headers: Mapping[str, str]) -> IncomingRequestResult:
        """Return the request that the headers describe, or a refusal."""
        now = self._clock.now()
        number = next(self._numbers)
        execution_id = f'{self._incarnation}-{number}'
        request_id = headers.get('Request-Id', execution_id)
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            return _malformed('Request-Id: wants 1 to 128 visible characters')
        try:
            wait_s = self._wait_s(headers)
            priority = int(headers.get('Request-Priority', DEFAULT_PRIORITY))
        except ValueError:
            return _malformed(
                'Request-Deadline-Ms and Request-Priority want whole numbers',
            )
        if not HIGHEST_PRIORITY <= priority <= LOWEST_PRIORITY:
            return _malformed('Request-Priority: wants 0 to 9')
        return IncomingRequest(
            request_id, execution_id, priority, now, now + wait_s
        )

    def _wait_s(self, headers: Mapping[str, str]) -> float:
        text = headers.get('Request-Deadline-Ms')
        if text is None:
            return self._settings.default_deadline_s
        return min(int(text) / _MS_PER_S, self._settings.max_deadline_s)


def _malformed(detail: str) -> NotRun:
    return NotRun(HTTPStatus.BAD_REQUEST, 'Malformed header', detail)
