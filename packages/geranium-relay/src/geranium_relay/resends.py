"""Prevents automatic retries in the HTTP client.

aiohttp retries a PUT, DELETE, GET or HEAD once if the connection breaks
before the response. A conditional write whose response was lost would then
conflict with itself, and a call that must not be repeated would run twice.
"""

import aiohttp


class ConnectionLostError(aiohttp.ClientConnectionError):
    """An established connection broke; the call may have run.

    aiohttp retries a call after subclasses of this base class, but not after
    the base class itself.
    """


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Raise an error that the client does not retry.

    This is a middleware for ``aiohttp.ClientSession``.

    Raises:
        ConnectionLostError: If an established connection breaks.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error
