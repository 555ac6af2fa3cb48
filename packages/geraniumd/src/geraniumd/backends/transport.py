"""HTTP calls to targets, with classified failures."""

from collections.abc import Mapping
from http import HTTPStatus

import aiohttp
from geranium_relay.http_connections import (
    CallConnector,
    ConnectionLostError,
)
from geranium_relay.response_checks import read_body as read_response_body

from ..process import (
    TargetFailedError,
    TargetLostError,
    TargetRefusedError,
    TargetSettings,
    TargetSilentError,
)

_DETAIL_BYTES = 512
_READ_BYTES = 65536
MAX_BODY_BYTES = 16777216
_NOT_RUN = '"not-run"'


class TargetTransport:
    """Sends HTTP calls to targets over pooled or single-use connections.

    A failure to connect, or an address that is none, is a refusal: the call
    did not run. After any later failure, the call may have run.

    Responses need not name their call. A refusal is therefore the last
    response on its connection: a late copy of it would be taken for the
    refusal of a later call.

    Args:
        settings: Time limits of the connections.
        reuses_connections: Whether a connection serves several calls. A
            call that must not be repeated needs a connection of its own,
            since a pooled one may turn out to be closed only after the call
            was sent, when it is too late to retry.
    """

    def __init__(
        self,
        settings: TargetSettings,
        *,
        reuses_connections: bool = True,
    ) -> None:
        self._settings = settings
        self._reuses_connections = reuses_connections
        self._connector: CallConnector | None = None
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        silence_timeout_s: float | None = None,
        total_timeout_s: float | None = None,
    ) -> aiohttp.ClientResponse:
        """Send a call and return its response once the headers arrived.

        Raises:
            TargetRefusedError: If the call did not run.
            TargetLostError: If the response was lost.
        """
        timeout = aiohttp.ClientTimeout(
            total=total_timeout_s,
            sock_connect=self._settings.connect_timeout_s,
            sock_read=silence_timeout_s,
        )
        try:
            response = await self._open_session().request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise TargetRefusedError(repr(error)) from error
        except TimeoutError:
            raise TargetSilentError('no answer in time') from None
        except (aiohttp.ClientError, ConnectionLostError) as error:
            raise TargetLostError(repr(error)) from error
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._open_connector().use_for(response).retire(response)
        return response

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = self._open_connector()
            self._session = aiohttp.ClientSession(
                connector=connector,
                read_bufsize=_READ_BYTES,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(connector.send_once,),
            )
        return self._session

    def _open_connector(self) -> CallConnector:
        if self._connector is None:
            self._connector = CallConnector(
                None,
                self._settings.idle_connection_s,
                reuses_connections=self._reuses_connections,
            )
        return self._connector


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the complete body of a response.

    Raises:
        TargetLostError: If it ends early, exceeds the time limit or is larger
            than ``MAX_BODY_BYTES``.
    """
    try:
        return await read_response_body(response, MAX_BODY_BYTES)
    except (TimeoutError, aiohttp.ClientError) as error:
        raise TargetLostError(repr(error)) from error


async def raise_for_status(response: aiohttp.ClientResponse) -> None:
    """Raise the error for a response's error status, if it has one.

    Raises:
        TargetRefusedError: If the response states that nothing ran.
        TargetFailedError: For any other status of 400 or more.
    """
    if response.status < HTTPStatus.BAD_REQUEST:
        return
    body = await read_body(response)
    detail = body[:_DETAIL_BYTES].decode(errors='replace')
    if is_not_run_response(response.status, detail):
        raise TargetRefusedError(detail)
    raise TargetFailedError(detail, response.status)


def is_not_run_response(status: int, detail: str) -> bool:
    """Return whether a response states that the call did not run."""
    return status == HTTPStatus.SERVICE_UNAVAILABLE and _NOT_RUN in detail
