"""Lost connections that the HTTP client hides from its users.

aiohttp retries a PUT, DELETE, GET or HEAD once if the connection breaks
before the response. A conditional write whose response was lost would then
conflict with itself, and a call that must not be repeated would run twice.

It also takes any end of a connection, a reset too, for the end of a body that
has neither a length nor chunks.
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


class ResponseEnd:
    """Tells whether the end of a connection cut a response's body.

    Create it before the body is read: the client forgets the connection when
    it ends.

    Args:
        response: A response whose head has arrived.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        connection = response.connection
        self._protocol = connection.protocol if connection else None
        self.is_framed = (
            'Content-Length' in response.headers
            or 'Transfer-Encoding' in response.headers
        )

    def was_reset(self) -> bool:
        """Return whether a body without framing ended with a reset."""
        if self._protocol is None or self.is_framed:
            return False
        return isinstance(self._protocol.exception(), OSError)
