"""Servers that write the bytes of their responses themselves."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

IP = '127.0.0.1'
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def listening(serve: Serve, limit: int = 65536) -> AsyncIterator[str]:
    """Serve connections on a free port and yield the address.

    Args:
        serve: Serves one connection.
        limit: Bytes of a call that are read ahead, half of what is held.
    """
    server = await asyncio.start_server(serve, IP, 0, limit=limit)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield f'{IP}:{port}'


def named_id(head: bytes) -> bytes:
    """Return the id of a call by its head in lower case, if it has one."""
    return (*head.partition(b'request-id: ')[2].split(), b'')[0]
