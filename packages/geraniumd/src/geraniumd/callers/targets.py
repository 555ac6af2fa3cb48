"""Client for application targets."""

import dataclasses
from collections.abc import Iterable

from geranium_model import Target
from multidict import CIMultiDict, CIMultiDictProxy

from ..backends import TargetTransport, is_not_run_response, read_body
from ..process import TargetRefusedError, TargetSettings
from .incoming_requests import IncomingRequest

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
_NOT_FORWARDED = _HOP_BY_HOP | {
    'authorization',
    'content-length',
    'expect',
    'host',
    'request-deadline-ms',
    'request-id',
    'request-priority',
    'team',
}
_NOT_RETURNED = _HOP_BY_HOP | {'content-length', 'request-id'}

Headers = CIMultiDict[str] | CIMultiDictProxy[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplicationCall:
    """A call to an application service.

    ``path`` is relative to the service and includes the query string.
    """

    incoming: IncomingRequest
    team: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    is_repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ApplicationResponse:
    """The complete response of a target."""

    status: int
    headers: Headers
    body: bytes


class TargetClient:
    """Sends calls to application targets."""

    def __init__(self, settings: TargetSettings) -> None:
        self._settings = settings
        self._pooled = TargetTransport(settings)
        self._unpooled = TargetTransport(settings, reuses_connections=False)

    async def close(self) -> None:
        """Close the connections."""
        await self._pooled.close()
        await self._unpooled.close()

    async def call(
        self,
        target: Target,
        call: ApplicationCall,
    ) -> ApplicationResponse:
        """Send the call once and return the complete response.

        Raises:
            TargetRefusedError: If the target did not run the call.
            TargetLostError: If its response was lost.
        """
        transport = self._pooled if call.is_repeatable else self._unpooled
        response = await transport.send(
            call.method,
            f'http://{target.address}{call.path}',
            body=call.body or None,
            headers=_request_headers(call),
            total_timeout_s=self._settings.application_timeout_s,
        )
        try:
            body = await read_body(response)
        finally:
            response.release()
        if is_not_run_response(response.status, body.decode(errors='replace')):
            raise TargetRefusedError(f'{target.name} ran nothing')
        headers = _without(response.headers, _NOT_RETURNED)
        return ApplicationResponse(response.status, headers, body)


def _request_headers(call: ApplicationCall) -> CIMultiDict[str]:
    headers = _without(call.headers, _NOT_FORWARDED)
    headers['Request-Id'] = call.incoming.request_id
    headers['Team'] = call.team
    return headers


def _without(headers: Headers, names: Iterable[str]) -> CIMultiDict[str]:
    kept = CIMultiDict(headers)
    for name in names:
        kept.popall(name, None)
    return kept
