"""Directory of the entry hosts, their addresses and availability."""

import dataclasses
import random
from collections.abc import Iterable

from geranium_model import Host, HostKind, HostState

_HOLDER_SEPARATOR = '.'


def holder_name(host: str, incarnation: str) -> str:
    """Return the unique name of one daemon process on a host."""
    return f'{host}{_HOLDER_SEPARATOR}{incarnation}'


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """Addresses at which the daemon of an entry host is reachable.

    ``incarnation`` differs for each start of the daemon.
    """

    host: str
    zone: str
    region: str
    incarnation: str
    caller_address: str
    peer_address: str
    operator_address: str
    is_leaving: bool = False


class HostDirectory:
    """Combines presences, the platform's host list and reports of peers."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._local_presence: Presence | None = None
        self._listed_by_host: dict[str, Host] = {}
        self._leaving: set[str] = set()
        self._has_presences = False
        self._silent: set[str] = set()
        self.presences_by_host: dict[str, Presence] = {}

    def join(self, presence: Presence) -> None:
        """Set the presence of this daemon."""
        self._local_presence = presence
        self.presences_by_host[presence.host] = presence

    def apply_presences(self, presences: Iterable[Presence]) -> None:
        """Replace the presences by those stored in the platform."""
        self._has_presences = True
        self.presences_by_host = {
            presence.host: presence for presence in presences
        }
        if self._local_presence is not None:
            self.presences_by_host[self._local_presence.host] = (
                self._local_presence
            )

    def apply_listing(self, listing: Iterable[Host]) -> None:
        """Replace the host list by the platform's current one."""
        self._listed_by_host = {
            host.name: host for host in listing if host.kind is HostKind.ENTRY
        }

    def record_silence(self, host: str, *, is_silent: bool) -> None:
        """Record whether a peer has stopped responding."""
        if is_silent:
            self._silent.add(host)
        else:
            self._silent.discard(host)

    def record_leaving(self, host: str, *, is_leaving: bool) -> None:
        """Record whether a peer reports that it is shutting down."""
        if is_leaving:
            self._leaving.add(host)
        else:
            self._leaving.discard(host)

    def members(self) -> tuple[Presence, ...]:
        """Return the hosts that are not leaving, silent ones included."""
        return tuple(
            presence
            for presence in self.presences_by_host.values()
            if not self._is_leaving(presence)
        )

    def peers(self) -> tuple[Presence, ...]:
        """Return all members except this host."""
        local = self._local_presence
        return tuple(
            presence
            for presence in self.members()
            if local is None or presence.host != local.host
        )

    def routable_hosts(self, zone: str) -> tuple[Presence, ...]:
        """Return the hosts that new requests may be sent to.

        Hosts of the zone come first; the order is random otherwise.
        """
        hosts = [
            presence
            for presence in self.members()
            if presence.host not in self._silent
        ]
        self._rng.shuffle(hosts)
        hosts.sort(key=lambda presence: presence.zone != zone)
        return tuple(hosts)

    def is_gone(self, holder: str, local_holder: str) -> bool:
        """Return whether a daemon process is known to have ended.

        It has ended if its host has no presence or the presence of a newer
        process.
        """
        if holder == local_holder or not self._has_presences:
            return False
        host, _, incarnation = holder.rpartition(_HOLDER_SEPARATOR)
        presence = self.presences_by_host.get(host)
        return presence is None or presence.incarnation != incarnation

    def is_silent(self, host: str) -> bool:
        """Return whether a peer has stopped responding."""
        return host in self._silent

    def _is_leaving(self, presence: Presence) -> bool:
        if presence.is_leaving or presence.host in self._leaving:
            return True
        listed = self._listed_by_host.get(presence.host)
        return listed is not None and listed.state is HostState.LEAVING
