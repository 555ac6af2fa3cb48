"""Keeps the HTTP client from sending a call again by itself.

aiohttp repeats a PUT, DELETE, GET or HEAD once if the connection breaks
before the answer. A conditional write whose answer was lost would then be
told of a conflict with itself, and a call that may not be repeated would
run twice.
"""

import aiohttp


class ConnectionLostError(aiohttp.ClientConnectionError):
    """The connection broke after it was made; the call may have run.

    The client sends a call again after subclasses of this base, not after
    the base itself.
    """


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Fail where the client would send a call again.

    A middleware for ``aiohttp.ClientSession``.

    Raises:
        ConnectionLostError: If the connection breaks after it was made.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error
