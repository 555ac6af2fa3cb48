"""Sends each order on its own connection and drops it with its authority.

A request is sent with ``Expect: 100-continue``, and the authority is checked
again before its body is sent. A network path that was down for a while
therefore never delivers an order whose authority has ended. The kernel aborts
a connection with unacknowledged data soon (``TCP_USER_TIMEOUT``) and discards
unsent data on close (``SO_LINGER`` of 0).
"""

import dataclasses
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeAlias

import aiohttp
from geranium_relay.control_calls import open_resetting_socket


@dataclasses.dataclass(frozen=True, slots=True)
class ControlResponse:
    """The response to an order; ``body`` is its decoded JSON."""

    status: int
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """No response was received; the order may or may not have arrived."""

    detail: str


ControlResult: TypeAlias = ControlResponse | NoResponse


class ControlTransport:
    """Sends orders, each on a new connection."""

    async def send(
        self,
        url: str,
        body: Any,
        may_send: Callable[[], bool],
        timeout_s: float,
    ) -> ControlResult:
        """Send an order if ``may_send`` returns true right before the body.

        Args:
            url: The URL to post to.
            body: The order as a JSON value.
            may_send: Called once the receiver is ready for the body.
            timeout_s: Total time limit in seconds.
        """
        connector = aiohttp.TCPConnector(
            force_close=True,
            socket_factory=open_resetting_socket,
        )
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with (
                aiohttp.ClientSession(
                    connector=connector,
                    timeout=timeout,
                ) as session,
                session.post(
                    url,
                    data=_authorized_body(body, may_send),
                    headers={'Content-Type': 'application/json'},
                    expect100=True,
                ) as response,
            ):
                content = await response.json(content_type=None)
                return ControlResponse(response.status, content)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return NoResponse(repr(error))


async def _authorized_body(
    body: Any,
    may_send: Callable[[], bool],
) -> AsyncIterator[bytes]:
    if not may_send():
        raise ConnectionAbortedError('the authority ended before the order')
    yield json.dumps(body).encode()
