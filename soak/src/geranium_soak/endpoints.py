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
class TargetEndpoint:
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
        """The address, under which faults of the endpoint are noted."""
        return self.address


class EndpointEntries:
    """Writes what targets say of themselves, and removes it."""

    def __init__(self, store: StandinStore) -> None:
        self._store = store

    def publish(
        self,
        endpoint: TargetEndpoint,
        identity: str,
        *,
        leaving: bool = False,
    ) -> None:
        """Write the entry of the target at an endpoint."""
        draft = TargetDraft(
            endpoint.service,
            endpoint.address,
            endpoint.zone,
            endpoint.born_ms,
            endpoint.stage,
        )
        document = draft.document(leaving=leaving)
        self._store.put(TARGETS_KIND, identity, document)

    def remove(self, identity: str) -> None:
        """Remove a target's entry if there is one."""
        if identity in self._store.names(TARGETS_KIND):
            self._store.remove(TARGETS_KIND, identity)
