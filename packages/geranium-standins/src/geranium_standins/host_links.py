"""Links between one host and its targets, which can be cut as a whole.

A host reaches a target at a loopback address of its own, where a relay
listens. :func:`redirect_connections` leads the host's connections there.
"""

import asyncio
import contextlib
import enum
import functools
import socket
from collections.abc import Awaitable, Callable, Collection
from typing import Any, TypeAlias

from .faults import RelayFaults, RelayMode
from .relay_server import Relay

Address: TypeAlias = tuple[str, int]
Connect: TypeAlias = Callable[[socket.socket, Any], Awaitable[None]]
TARGETS_IP = '127.0.2.2'  # address of all targets whose links can be cut
_QUEUE_FILLERS = 4  # fill the queue of a listener that accepts nothing


class CutMode(enum.Enum):
    """How a host is cut from its targets.

    New connections are refused or hang; open ones live on, are reset or
    carry no bytes until the cut ends.
    """

    REFUSED = 'refused'
    RESET = 'reset'
    HANGING = 'hanging'


class HostLinks:
    """The links of one host; new targets can be added at any time.

    Args:
        local_ip: Loopback address of this host's relays.
        source_ip: Loopback address from which they connect to the targets, which
            thereby know the host; ``None`` for the system's choice.
    """

    def __init__(self, local_ip: str, source_ip: str | None = None) -> None:
        self.local_ip = local_ip
        self._source_ip = source_ip
        self._relays_by_port: dict[int, Relay] = {}
        self._cut: CutMode | None = None
        self._cut_ports: frozenset[int] = frozenset()
        self._full_queues = contextlib.ExitStack()
        # A relay that is still starting can't be stopped, and its port is taken.
        self._changes = asyncio.Lock()

    async def add(self, target: Address) -> None:
        """Add the link to a target; the relay listens on the same port."""
        port = target[1]
        async with self._changes:
            if port not in self._relays_by_port:
                relay = Relay(*target, source_ip=self._source_ip)
                self._relays_by_port[port] = relay
                if self._cut is None:
                    await relay.start(self.local_ip, port)

    async def cut(
        self, mode: CutMode, ports: Collection[int] | None = None
    ) -> None:
        """Cut links until :meth:`heal`.

        Args:
            mode: How they are cut.
            ports: The ports of the targets; by default all, and those that
                are added later.
        """
        async with self._changes:
            self._cut_links(mode, ports)

    async def heal(self) -> None:
        """End the cut."""
        async with self._changes:
            await self._heal_links()

    async def close(self) -> None:
        """Stop all relays."""
        self._full_queues.close()
        for relay in self._relays_by_port.values():
            await relay.stop()

    def _cut_links(self, mode: CutMode, ports: Collection[int] | None) -> None:
        if ports is None:
            self._cut = mode
        self._cut_ports = frozenset(
            self._relays_by_port if ports is None else ports
        )
        faults_by_mode = {
            CutMode.REFUSED: RelayFaults(),
            CutMode.RESET: RelayFaults(RelayMode.DROP),
            CutMode.HANGING: RelayFaults(RelayMode.HOLD),
        }
        for port in self._cut_ports:
            relay = self._relays_by_port[port]
            relay.stop_listening()
            relay.set_faults(faults_by_mode[mode])
            if mode is CutMode.HANGING:
                self._fill_queue(port)

    async def _heal_links(self) -> None:
        self._full_queues.close()
        ports = self._cut_ports
        if self._cut is not None:
            ports = frozenset(self._relays_by_port)
        self._cut = None
        self._cut_ports = frozenset()
        for port in ports:
            relay = self._relays_by_port[port]
            relay.set_faults(RelayFaults())
            await relay.start(self.local_ip, port)

    def _fill_queue(self, port: int) -> None:
        """Listen so that connections hang: the queue for them is full."""
        listener = self._full_queues.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.local_ip, port))
        listener.listen(0)
        for _ in range(_QUEUE_FILLERS):
            filler = self._full_queues.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((self.local_ip, port))


def redirect_connections(
    loop: asyncio.AbstractEventLoop,
    targets_ip: str,
    local_ip: Callable[[], str | None],
) -> None:
    """Lead the connections of a loop to targets to the relays of its host.

    Args:
        loop: The event loop of one host, or of several.
        targets_ip: Loopback address of all targets.
        local_ip: Returns the address of the relays of the host that connects
            now; ``None`` to connect without a relay.
    """
    loop.sock_connect = functools.partial(  # type: ignore[method-assign]
        _connect_by_link, loop.sock_connect, targets_ip, local_ip
    )


async def _connect_by_link(
    connect: Connect,
    targets_ip: str,
    local_ip: Callable[[], str | None],
    sock: socket.socket,
    address: Address,
) -> None:
    own_ip = local_ip()
    if address[0] == targets_ip and own_ip is not None:
        address = (own_ip, address[1])
    await connect(sock, address)
