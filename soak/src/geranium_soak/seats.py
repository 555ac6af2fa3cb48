"""Addresses of targets, and their entries in the store."""

import dataclasses

from aiohttp import web
from geranium_platform_standins import (
    SimulatedTarget,
    StandinStore,
    TargetDraft,
)
from geranium_standins.relay_server import Relay

TARGETS_KIND = 'servers'


@dataclasses.dataclass(slots=True)
class Seat:
    """An address at which one target after the other listens.

    Args:
        zone: Its zone.
        stage: What its engine does; ``None`` for an application.
        service: The service of the target that listens now.
        relay: Carries the hosts' connections and harms them.
        address: Where hosts connect.
        port: Where the target itself listens.
        born_ms: When that target started, in Unix milliseconds.
        target: The target, ``None`` once it leaves or has ended.
        runner: Serves it for as long as it listens.
    """

    zone: str
    stage: str | None
    service: str
    relay: Relay
    address: str
    port: int
    born_ms: int = 0
    target: SimulatedTarget | None = None
    runner: web.AppRunner | None = None

    @property
    def name(self) -> str:
        """The address, under which faults of the seat are noted."""
        return self.address


class SeatEntries:
    """Writes what targets say of themselves, and removes it."""

    def __init__(self, store: StandinStore) -> None:
        self._store = store

    def publish(
        self,
        seat: Seat,
        identity: str,
        *,
        leaving: bool = False,
    ) -> None:
        """Write the entry of the target at a seat."""
        draft = TargetDraft(
            seat.service,
            seat.address,
            seat.zone,
            seat.born_ms,
            seat.stage,
        )
        document = draft.document(leaving=leaving)
        self._store.put(TARGETS_KIND, identity, document)

    def forget(self, identity: str) -> None:
        """Remove a target's entry if there is one."""
        if identity in self._store.names(TARGETS_KIND):
            self._store.remove(TARGETS_KIND, identity)
