"""Bounds the informational responses (1xx) that precede a response."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

MAX_INFORMATIONAL = 64  # of one call; targets send one, if any
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101


class BoundedResponseHandler(ResponseHandler):
    """A connection that ends with too many informational responses.

    The client waits for a final response as long as others arrive, and reads
    them as fast as the peer sends them.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._informational = 0

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a message for the call that waits for its response."""
        status = data[0].code
        if status >= _FIRST_FINAL_STATUS or status == _SWITCHING_PROTOCOLS:
            self._informational = 0
        else:
            self._informational += 1
        if self._informational <= MAX_INFORMATIONAL:
            super().feed_data(data, size)
        elif self._informational == MAX_INFORMATIONAL + 1:
            self.close()
            self.set_exception(
                aiohttp.ServerDisconnectedError('no final response')
            )
