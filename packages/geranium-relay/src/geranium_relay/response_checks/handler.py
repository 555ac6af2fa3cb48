"""A connection on which a call waits for one response.

The HTTP client takes any number of three digits for a status, and waits for a
final response as long as informational ones (1xx) arrive.
"""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .status import is_final_status, is_informational

MAX_INFORMATIONAL = 64  # of one call; targets send one, if any
MAX_IDLE_BYTES = 1_114_112  # received without progress; the longest head fits


class MalformedResponseError(aiohttp.ClientError):
    """A server has sent something else than a response; the call may have run."""


class CheckedResponseHandler(ResponseHandler):
    """A connection that ends with the first thing that is no response.

    The client bounds the lines of a head, but not what it skips: empty lines
    before a head, extensions and leading zeros of chunks.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._informational = 0
        self._is_given_up = False
        self._messages = 0
        self._progress = 0, 0
        self._idle_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Read a part of a response."""
        payload = self._payload
        super().data_received(data)
        payload = self._payload or payload
        progress = self._messages, payload.total_bytes if payload else 0
        if progress != self._progress:
            self._progress = progress
            self._idle_bytes = 0
        self._idle_bytes += len(data)
        if self._idle_bytes > MAX_IDLE_BYTES:
            self._give_up('bytes without end')

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a message for the call that waits for its response."""
        if self._is_given_up:
            return
        self._messages += 1
        status = data[0].code
        if is_informational(status):
            self._informational += 1
        elif is_final_status(status):
            self._informational = 0
        else:
            self._give_up(f'status {status}')
            return
        if self._informational > MAX_INFORMATIONAL:
            self._give_up('no final response')
            return
        super().feed_data(data, size)

    def _give_up(self, reason: str) -> None:
        self._is_given_up = True
        payload = self._payload
        self.abort()
        error = MalformedResponseError(reason)
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)
