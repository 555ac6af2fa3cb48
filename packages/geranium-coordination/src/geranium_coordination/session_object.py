"""The stored object of a session and the writes that renew it."""

import dataclasses
import random

from .clock import Clock
from .exceptions import AnswerLostError, ConflictError, StoreError
from .operations import (
    OPERATION_FIELD,
    get_operation_id,
    is_of_other_era,
    new_operation_id,
)
from .store import ABSENT_VERSION, IfAbsent, IfVersion, ObjectStore


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A write that took effect: its version and the instant it was sent."""

    version: int
    sent_at: float


class SessionObject:
    """Writes one session's object and determines the outcome of each write."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        key: str,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._rng = rng
        self._version = ABSENT_VERSION
        self._sent_at_by_operation: dict[str, float] = {}

    async def write(self, body: dict[str, object]) -> Renewal:
        """Write the body over the last known version.

        Raises:
            ConflictError: If the object was deleted or overwritten, or the
                store was restored.
            StoreError: If no write is known to have taken effect since the
                last known version; one may still do so.
        """
        operation = new_operation_id(self._rng)
        sent_at = self._clock.now()
        self._sent_at_by_operation[operation] = sent_at
        stamped = {**body, OPERATION_FIELD: operation}
        try:
            version = await self._store.write(
                self._key,
                stamped,
                self._condition(),
            )
        except (AnswerLostError, ConflictError) as failure:
            return self._accept(await self._read_back(failure))
        return self._accept(Renewal(version, sent_at))

    async def delete(self) -> None:
        """Delete the object if it has the last known version."""
        await self._store.delete(self._key, IfVersion(self._version))

    def _condition(self) -> IfAbsent | IfVersion:
        if self._version == ABSENT_VERSION:
            return IfAbsent()
        return IfVersion(self._version)

    async def _read_back(self, failure: StoreError) -> Renewal:
        found = await self._store.read(self._key)
        present = found.version if found else ABSENT_VERSION
        if present == self._version:
            raise failure
        sent_at = self._sent_at_by_operation.get(get_operation_id(found) or '')
        if sent_at is None or is_of_other_era(present, self._version):
            raise ConflictError(self._key, present) from failure
        return Renewal(present, sent_at)

    def _accept(self, renewal: Renewal) -> Renewal:
        self._version = renewal.version
        self._sent_at_by_operation = {
            operation: sent_at
            for operation, sent_at in self._sent_at_by_operation.items()
            if sent_at >= renewal.sent_at
        }
        return renewal
