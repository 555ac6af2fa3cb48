"""The entry hosts: who is there, where, and who may get new calls."""

import dataclasses
import random
from collections.abc import Iterable

from geranium_model import Host, HostKind, HostState

_HOLDER_SEPARATOR = '.'


def holder_name(host: str, incarnation: str) -> str:
    """Return the name of one start of a daemon."""
    return f'{host}{_HOLDER_SEPARATOR}{incarnation}'


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """Where a daemon on an entry host is reached.

    ``incarnation`` tells one start of the daemon from the next.
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
    """Entry hosts by name, from presences, the host list and peers."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._own: Presence | None = None
        self._listed_by_host: dict[str, Host] = {}
        self._leaving: set[str] = set()
        self._has_read = False
        self._silent: set[str] = set()
        self.presences_by_host: dict[str, Presence] = {}

    def join(self, presence: Presence) -> None:
        """Set this daemon's own presence."""
        self._own = presence
        self.presences_by_host[presence.host] = presence

    def apply_presences(self, presences: Iterable[Presence]) -> None:
        """Take over the presences that the platform holds."""
        self._has_read = True
        self.presences_by_host = {
            presence.host: presence for presence in presences
        }
        if self._own is not None:
            self.presences_by_host[self._own.host] = self._own

    def apply_listing(self, listing: Iterable[Host]) -> None:
        """Take over the platform's list of hosts."""
        self._listed_by_host = {
            host.name: host for host in listing if host.kind is HostKind.ENTRY
        }

    def note_silence(self, host: str, *, is_silent: bool) -> None:
        """Take down whether a peer answers."""
        if is_silent:
            self._silent.add(host)
        else:
            self._silent.discard(host)

    def note_leaving(self, host: str, *, is_leaving: bool) -> None:
        """Take down what a peer says of itself."""
        if is_leaving:
            self._leaving.add(host)
        else:
            self._leaving.discard(host)

    def members(self) -> tuple[Presence, ...]:
        """Return the hosts that stay, whether they answer or not."""
        return tuple(
            presence
            for presence in self.presences_by_host.values()
            if not self._is_leaving(presence)
        )

    def peers(self) -> tuple[Presence, ...]:
        """Return the members but this daemon."""
        own = self._own
        return tuple(
            presence
            for presence in self.members()
            if own is None or presence.host != own.host
        )

    def callable_hosts(self, zone: str) -> tuple[Presence, ...]:
        """Return hosts for new calls: the zone's first, else at random."""
        hosts = [
            presence
            for presence in self.members()
            if presence.host not in self._silent
        ]
        self._rng.shuffle(hosts)
        hosts.sort(key=lambda presence: presence.zone != zone)
        return tuple(hosts)

    def is_gone(self, holder: str, own: str) -> bool:
        """Tell whether a start of a daemon is known to be over.

        That is so once its host has no presence, or a newer start's.
        """
        if holder == own or not self._has_read:
            return False
        host, _, incarnation = holder.rpartition(_HOLDER_SEPARATOR)
        presence = self.presences_by_host.get(host)
        return presence is None or presence.incarnation != incarnation

    def is_silent(self, host: str) -> bool:
        """Tell whether a peer does not answer."""
        return host in self._silent

    def _is_leaving(self, presence: Presence) -> bool:
        if presence.is_leaving or presence.host in self._leaving:
            return True
        listed = self._listed_by_host.get(presence.host)
        return listed is not None and listed.state is HostState.LEAVING
