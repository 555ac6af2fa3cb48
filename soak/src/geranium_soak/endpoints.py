"""Endpoints of targets and their entries in the store."""

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
    """An address at which successive targets listen.

    Args:
        zone: Availability zone.
        stage: Stage of the engine; ``None`` for an application.
        service: Service of the current target.
        relay: Forwards the hosts' connections and injects link faults.
        address: Address of the relay, to which hosts connect.
        port: Port of the target behind the relay.
        born_ms: Start of the current target, in Unix milliseconds.
        target: The current target; ``None`` once it leaves or has stopped.
        runner: Server of the target while it listens.
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
        """The address, which identifies the endpoint in recorded faults."""
        return self.address


class EndpointEntries:
    """Writes and removes the entries of targets in the store."""

    def __init__(self, store: StandinStore) -> None:
        self._store = store

    def publish(
        self,
        endpoint: TargetEndpoint,
        target: SimulatedTarget,
        *,
        leaving: bool = False,
    ) -> None:
        """Write the entry of a target at an endpoint."""
        draft = TargetDraft(
            endpoint.service,
            endpoint.address,
            endpoint.zone,
            endpoint.born_ms,
            endpoint.stage,
            target.version,
        )
        document = draft.document(leaving=leaving)
        self._store.put(TARGETS_KIND, target.identity, document)

    def remove(self, identity: str) -> None:
        """Remove a target's entry if it exists."""
        if identity in self._store.names(TARGETS_KIND):
            self._store.remove(TARGETS_KIND, identity)
