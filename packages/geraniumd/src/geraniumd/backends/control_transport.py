"""Sends orders on connections of their own that die with their authority.

An order asks for permission first (``Expect: 100-continue``) and checks the
authority again before its body goes out, so that a path that was dead for a
while never holds a live order. The kernel gives a connection up soon
(``TCP_USER_TIMEOUT``) and throws away what it still holds on closing it
(``SO_LINGER`` of 0).
"""

import dataclasses
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeAlias

import aiohttp

_USER_TIMEOUT_MS = 1000
_SOCKET_FIELDS = 3
_LINGER_ZERO = struct.pack('ii', 1, 0)

AddressInfo: TypeAlias = tuple[Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ControlResponse:
    """A definite answer to an order; ``body`` is its decoded JSON."""

    status: int
    body: Any


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """The order may or may not have arrived."""

    detail: str


ControlResult: TypeAlias = ControlResponse | NoResponse


class ControlTransport:
    """Sends orders, each on a fresh connection."""

    async def send(
        self,
        url: str,
        body: Any,
        may_send: Callable[[], bool],
        timeout_s: float,
    ) -> ControlResult:
        """Send an order if ``may_send`` still says so right before.

        Args:
            url: Where to.
            body: The order as a JSON value.
            may_send: Asked once the other end is ready for the body.
            timeout_s: Time for all of it.
        """
        connector = aiohttp.TCPConnector(
            force_close=True,
            socket_factory=_open_socket,
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
                    data=_guarded(body, may_send),
                    headers={'Content-Type': 'application/json'},
                    expect100=True,
                ) as response,
            ):
                answer = await response.json(content_type=None)
                return ControlResponse(response.status, answer)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return NoResponse(repr(error))


async def _guarded(
    body: Any,
    may_send: Callable[[], bool],
) -> AsyncIterator[bytes]:
    if not may_send():
        raise ConnectionAbortedError('the authority ended before the order')
    yield json.dumps(body).encode()


def _open_socket(address: AddressInfo) -> socket.socket:
    family, kind, protocol = address[:_SOCKET_FIELDS]
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    return opened
