"""The links of a host to all targets, and their cuts."""

import asyncio
import dataclasses

from geranium_standins.host_links import Address, CutMode, HostLinks
from geranium_standins.loopback_networks import LoopbackNetwork

from .observations import Ledger, now

LINKS_PART = 3  # of the run's network, for up to 254 hosts
# Another one, so that outgoing connections take no port of a link.
SENDERS_PART = 4
CUT_FROM_TARGETS = 'cut from targets'


def split_address(address: str) -> Address:
    """Return the IP address and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


@dataclasses.dataclass(frozen=True, slots=True)
class CutHosts:
    """Cut a host, or all hosts of its zone, from all targets."""

    mode: CutMode
    whole_zone: bool
    for_s: float


class TargetLinks:
    """Cuts one host from all targets, for one fault at a time.

    Args:
        number: Number of the host.
        ledger: Records the cuts.
        network: The addresses of the run.

    ``source_ip`` is the address by which targets know the host.
    """

    def __init__(
        self, number: int, ledger: Ledger, network: LoopbackNetwork
    ) -> None:
        last_byte = number + 1
        self._name = f'host-{number}'
        self._ledger = ledger
        self.source_ip = network.address(SENDERS_PART, last_byte)
        self._links = HostLinks(
            network.address(LINKS_PART, last_byte), self.source_ip
        )
        self._is_cut = False

    @property
    def local_ip(self) -> str:
        """The address of the relays to which the host connects."""
        return self._links.local_ip

    async def add(self, target: Address) -> None:
        """Add the link to a target."""
        await self._links.add(target)

    async def cut(self, mode: CutMode, for_s: float) -> None:
        """Cut all links for ``for_s`` seconds, unless they are cut already."""
        if self._is_cut:
            return
        self._is_cut = True
        began_at = now()
        await self._links.cut(mode)
        await asyncio.sleep(for_s)
        await self._links.heal()
        self._is_cut = False
        self._ledger.record_disruption(CUT_FROM_TARGETS, self._name, began_at)

    async def close(self) -> None:
        """Stop the relays."""
        await self._links.close()
