"""Accepts connections at the rate at which there is room for them."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

BATCH = 64  # connections that are accepted at once
RETRY_S = 0.02  # until room is looked for again


class PacedAcceptor:
    """Accepts connections, and pauses while there is no room.

    Connections that wait meanwhile stay in the backlog of the kernel.

    Args:
        listening: The listening socket.
        connect: Serves an accepted connection.
        has_room: Returns whether one more may be accepted, given how many have
            been accepted and are not served yet.
    """

    def __init__(
        self,
        listening: socket.socket,
        connect: Callable[[socket.socket], Awaitable[Any]],
        has_room: Callable[[int], bool],
    ) -> None:
        self._listening = listening
        self._connect = connect
        self._has_room = has_room
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopped = False
        listening.setblocking(False)

    def start(self) -> None:
        """Accept connections from now on."""
        if not self._is_stopped:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listening, self._accept_some)

    def stop(self) -> None:
        """Accept no more connections and close the address."""
        if self._is_stopped:
            return
        self._is_stopped = True
        asyncio.get_running_loop().remove_reader(self._listening)
        self._listening.close()

    def _accept_some(self) -> None:
        for _ in range(BATCH):
            if not self._has_room(len(self._tasks)):
                self._pause()
                return
            try:
                connected, _address = self._listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # No descriptor or no memory is left for it.
                self._pause()
                return
            connected.setblocking(False)
            task = asyncio.create_task(self._serve(connected))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listening)
        loop.call_later(RETRY_S, self.start)

    async def _serve(self, connected: socket.socket) -> None:
        try:
            await self._connect(connected)
        except OSError:
            connected.close()
