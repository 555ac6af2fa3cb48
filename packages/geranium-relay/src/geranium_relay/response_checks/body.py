"""The bodies of responses, and whether they have ended."""

import aiohttp

from .handler import MalformedResponseError


class ResponseTooLongError(MalformedResponseError):
    """A body is longer than its reader allows."""


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


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body of a response.

    Args:
        response: A response whose head has arrived.
        max_bytes: What is longer is given up.

    Raises:
        ResponseTooLongError: If it is longer.
        aiohttp.ClientError: If it ends early.
    """
    end = ResponseEnd(response)
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise ResponseTooLongError(f'a body of more than {max_bytes} bytes')
    if end.was_reset():
        raise MalformedResponseError('reset inside a body')
    return bytes(body)
