"""Open connections, and those that have gone silent."""

import asyncio
import socket
import struct
import weakref
from typing import NoReturn

from aiohttp import web

_NO_LINGER = struct.pack('ii', 1, 0)


class Connections:
    """Knows the connections of a server and lets them go silent.

    A silent connection stays open, takes what it gets and gives nothing
    back, as if a middlebox had lost track of it.
    """

    def __init__(self) -> None:
        self._open: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self._silent: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()

    def silence_open(self, keep: asyncio.BaseTransport | None) -> None:
        """Let all open connections but one go silent."""
        for transport in tuple(self._open):
            if transport is not keep:
                self._silent.add(transport)

    def is_silent(self, transport: asyncio.BaseTransport | None) -> bool:
        """Tell whether the connection has gone silent."""
        return transport in self._silent

    async def track(self, request: web.Request) -> None:
        """Register a request's connection; hang if it has gone silent."""
        if request.transport is None:
            return
        self._open.add(request.transport)
        if request.transport in self._silent:
            await hang()


async def hang() -> NoReturn:
    """Give no answer.

    The server cancels the handler once the caller has gone.
    """
    await asyncio.get_running_loop().create_future()
    raise AssertionError('a future that nobody resolves was resolved')


def drop_connection(request: web.Request) -> web.Response:
    """Reset the connection; the response returned is never sent."""
    if request.transport is not None:
        reset(request.transport)
    return web.Response()


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection at once; the peer gets RST, not the stream's end."""
    raw_socket = transport.get_extra_info('socket')
    if raw_socket is not None and not transport.is_closing():
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
