"""Sessions: one renewed object that all leases of a daemon depend on.

The owner counts validity from the instant before it sent a renewal, on its
own monotonic clock. Other processes consider a session expired only after
its object has kept one version for the whole term plus a margin; they start
counting later than the owner. Validity ends at the deadline, without any
I/O, and an expired session stays expired: a renewal whose response arrives
after the deadline extends nothing, because others may already have replaced
the session.

A session ends at once when a response shows that the store was restored: its
object may be gone. A process that has not seen this yet ends by the term.
"""

import asyncio
import dataclasses
import math
import random

from .clock import Clock
from .exceptions import ConflictError, StoreError, UnavailableError
from .operations import new_operation_id
from .session_object import Renewal, SessionObject
from .store import ObjectStore
from .timeouts import TimedStore, finish_by


@dataclasses.dataclass(frozen=True, slots=True)
class SessionSettings:
    """Timing of renewal and expiry; all daemons use the same values.

    ``margin_s`` covers clocks that run at different rates: two clocks may
    drift apart by ``margin_s / term_s`` of the elapsed time.
    """

    prefix: str = 'coordination/sessions/'
    term_s: float = 5.0
    margin_s: float = 0.5
    renew_interval_s: float = 1.0
    retry_interval_s: float = 0.25
    call_timeout_s: float = 1.0

    @property
    def expiry_wait_s(self) -> float:
        """The time that an object must stay unchanged to count as expired."""
        return self.term_s + self.margin_s


class Session:
    """A session of this process; once ended, it can't be reopened.

    Args:
        store: The store of the session's object.
        clock: The monotonic clock that measures validity.
        settings: The key prefix and the time limits.
        host: The name of the host that this process runs on.
        rng: The source of the unique identity and operation ids.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        settings: SessionSettings,
        host: str,
        rng: random.Random,
    ) -> None:
        self.host = host
        self.identity = f'{host}.{new_operation_id(rng)}'
        self._clock = clock
        self._settings = settings
        self._rng = rng
        self._store = store
        self._era = store.era
        self._object = SessionObject(
            TimedStore(store, clock, settings.call_timeout_s),
            clock,
            settings.prefix + self.identity,
            rng,
        )
        self._deadline = math.inf
        self._opened = False
        self._ended = asyncio.Event()

    @property
    def deadline(self) -> float:
        """The instant at which the session expires unless it is renewed."""
        if not self._opened or self._ended.is_set():
            return -math.inf
        return self._deadline if self._store.era == self._era else -math.inf

    def is_valid(self) -> bool:
        """Return whether the session is valid now."""
        return self._clock.now() < self.deadline

    async def open(self) -> None:
        """Create the session's object.

        Raises:
            StoreError: If the object is not known to exist. This session
                is then unusable; create another one.
        """
        await self._write()
        self._era = self._store.era
        self._opened = True

    async def keep_alive(self) -> None:
        """Renew the session until it ends."""
        while self.is_valid():
            pause_s = await self._renew()
            await self._pause(self._clock.now() + pause_s)

    async def close(self) -> None:
        """End the session and delete its object.

        A failed deletion is ignored: the object stays unchanged and another
        daemon sweeps it.
        """
        self.invalidate()
        try:
            await self._object.delete()
        except StoreError:
            return

    def invalidate(self) -> None:
        """End the session's validity immediately, without a store call."""
        self._ended.set()

    async def wait_until_ended(self) -> None:
        """Wait until the session has expired or was closed."""
        while self.is_valid():
            await self._pause(self.deadline)

    async def _pause(self, instant: float) -> None:
        wake_at = min(instant, self.deadline)
        try:
            await finish_by(self._clock, wake_at, self._ended.wait())
        except TimeoutError:
            return

    async def _renew(self) -> float:
        """Renew once and return the delay before the next renewal."""
        try:
            await self._write()
        except ConflictError:
            self.invalidate()
        except UnavailableError as error:
            return max(self._retry_pause_s(), error.retry_after_s or 0)
        except StoreError:
            return self._retry_pause_s()
        return self._settings.renew_interval_s

    def _retry_pause_s(self) -> float:
        return self._settings.retry_interval_s * self._rng.uniform(1, 2)

    async def _write(self) -> None:
        renewal = await self._object.write(
            {'host': self.host, 'term_s': self._settings.term_s},
        )
        self._apply_renewal(renewal)

    def _apply_renewal(self, renewal: Renewal) -> None:
        if self._deadline <= self._clock.now():
            self.invalidate()
        self._deadline = self._valid_until(renewal)

    def _valid_until(self, renewal: Renewal) -> float:
        return renewal.sent_at + self._settings.term_s
