"""Tracking, silencing and resetting of connections."""

import asyncio
import socket
import struct
import weakref
from typing import NoReturn

from aiohttp import web

_NO_LINGER = struct.pack('ii', 1, 0)


class Connections:
    """Tracks the connections of a server and can silence them.

    A silent connection stays open and accepts data but sends nothing, as if a
    middlebox had dropped its state.
    """

    def __init__(self) -> None:
        self._open: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self._silent: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()

    def silence_open(self, keep: asyncio.BaseTransport | None) -> None:
        """Silence all open connections except one."""
        for transport in tuple(self._open):
            if transport is not keep:
                self._silent.add(transport)

    def is_silent(self, transport: asyncio.BaseTransport | None) -> bool:
        """Return whether the connection is silent."""
        return transport in self._silent

    async def track(self, request: web.Request) -> None:
        """Track a request's connection; hang if it is silent."""
        if request.transport is None:
            return
        self._open.add(request.transport)
        if request.transport in self._silent:
            await hang()


async def hang() -> NoReturn:
    """Never return, so that the request gets no response.

    The server cancels the handler when the caller disconnects.
    """
    await asyncio.get_running_loop().create_future()
    raise AssertionError('unreachable: the future is never resolved')


def drop_connection(request: web.Request) -> web.Response:
    """Reset the connection; the returned response is never sent."""
    if request.transport is not None:
        reset(request.transport)
    return web.Response()


def reset(transport: asyncio.WriteTransport) -> None:
    """Abort a connection; the peer receives RST instead of FIN."""
    raw_socket = transport.get_extra_info('socket')
    if raw_socket is not None and not transport.is_closing():
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
