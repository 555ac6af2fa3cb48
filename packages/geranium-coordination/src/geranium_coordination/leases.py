"""Leases: the session that holds a duty, and the epoch of its acquisition.

A lease's object is written when it is acquired and when it is released, but
not to renew it: it is valid as long as the session that it names. Its epoch
is the version of the object state that it was acquired from. Versions only
grow over the whole store, so an epoch is never issued twice, even if the
object was deleted in between. They order by the era of the store first, so
this holds also if the store was restored from a copy without the object.
"""

import contextlib
import dataclasses
import math
import random

from .authority import AuthorityState, Held, Lost
from .clock import Clock
from .exceptions import StoreError
from .operations import OPERATION_FIELD, new_operation_id, write_once
from .sessions import Session
from .store import IfAbsent, IfVersion, ObjectStore, StoredObject, era_of
from .timeouts import TimedStore, finish_by


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Key prefix and time limits of leases.

    ``margin_s`` is the time before the session's deadline at which the lease
    already counts as lost, so that nothing new is started.
    """

    prefix: str = 'coordination/leases/'
    margin_s: float = 0.25
    call_timeout_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A lease as it is stored; vacant if ``session`` is ``None``.

    If it is not readable, another build has written it; who holds it is then
    unknown.
    """

    duty: str
    version: int
    epoch: int
    session: str | None
    host: str | None
    is_readable: bool = True


def read_lease(found: StoredObject, prefix: str) -> LeaseRecord:
    """Return the lease record of a stored object.

    Fields that this build does not know are ignored.
    """
    duty = found.key.removeprefix(prefix)
    match found.body:
        case {
            'epoch': int() as epoch,
            'session': str() | None as session,
            'host': str() | None as host,
        }:
            return LeaseRecord(duty, found.version, epoch, session, host)
        case _:
            return LeaseRecord(
                duty, found.version, 0, None, None, is_readable=False
            )


class Lease:
    """A lease held by a session of this process.

    Implements :class:`Authority`.
    """

    def __init__(
        self,
        record: LeaseRecord,
        session: Session,
        clock: Clock,
        settings: LeaseSettings,
        previous_epoch: int = 0,
    ) -> None:
        self.record = record
        self._previous_epoch = previous_epoch
        self._session = session
        self._clock = clock
        self._settings = settings
        self._released = False

    @property
    def epoch(self) -> int:
        """The fencing number, which grows with each acquisition of the duty."""
        return self.record.epoch

    @property
    def previous_era(self) -> int:
        """The era of the store at the previous acquisition.

        If it is another than that of ``epoch``, the store was restored, and
        what holders wrote since the copy is lost.
        """
        return era_of(self._previous_epoch)

    @property
    def host(self) -> str:
        """The host that the holder runs on."""
        return self._session.host

    @property
    def session(self) -> str:
        """The identity of the holder's session."""
        return self._session.identity

    def held_until(self) -> float:
        """Return the instant until which the lease is currently held."""
        if self._released:
            return -math.inf
        return self._session.deadline - self._settings.margin_s

    def is_held(self, now: float | None = None) -> bool:
        """Return whether the lease is held at an instant (by default, now)."""
        instant = self._clock.now() if now is None else now
        return instant < self.held_until()

    def check(self, deadline_needed: float) -> AuthorityState:
        """Return whether the lease is held now and until the deadline."""
        until = self.held_until()
        if self._clock.now() >= until:
            return Lost('the lease is not held')
        if deadline_needed > until:
            return Lost('the lease ends before the deadline')
        return Held(self.epoch, until)

    async def wait_until_lost(self) -> None:
        """Wait until the lease is no longer held."""
        while self.is_held():
            ended = self._session.wait_until_ended()
            with contextlib.suppress(TimeoutError):
                await finish_by(self._clock, self.held_until(), ended)

    def give_up(self) -> None:
        """Stop holding the lease immediately, without a store call."""
        self._released = True


class Leases:
    """Acquires and releases leases for the sessions of one process."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        settings: LeaseSettings,
        rng: random.Random,
    ) -> None:
        self._store = TimedStore(store, clock, settings.call_timeout_s)
        self._clock = clock
        self._settings = settings
        self._rng = rng

    async def create(self, duty: str) -> LeaseRecord:
        """Create a vacant lease.

        Raises:
            ConflictError: If the lease already exists.
            StoreError: If the store failed.
        """
        vacant = LeaseRecord(duty, 0, 0, None, None)
        return await self._write(vacant, IfAbsent())

    async def acquire(self, found: LeaseRecord, session: Session) -> Lease:
        """Acquire a lease that is vacant or whose holder's session has ended.

        The caller must have checked that with :meth:`Membership.is_free`.

        Raises:
            ConflictError: If the lease has changed since it was read.
            StoreError: If the store failed. A write without a response may
                still take effect; the lease then names this session, which
                may acquire it again.
        """
        wanted = LeaseRecord(
            found.duty,
            found.version,
            found.version,
            session.identity,
            session.host,
        )
        taken = await self._write(wanted, IfVersion(found.version))
        return Lease(taken, session, self._clock, self._settings, found.epoch)

    async def release(self, lease: Lease) -> None:
        """Stop holding the lease, then clear its holder in the store.

        A failed write is ignored: the lease becomes free when the session
        ends.
        """
        lease.give_up()
        held = lease.record
        vacant = dataclasses.replace(held, session=None, host=None)
        try:
            await self._write(vacant, IfVersion(held.version))
        except StoreError:
            return

    async def _write(
        self,
        wanted: LeaseRecord,
        condition: IfAbsent | IfVersion,
    ) -> LeaseRecord:
        body = {
            'epoch': wanted.epoch,
            'session': wanted.session,
            'host': wanted.host,
            OPERATION_FIELD: new_operation_id(self._rng),
        }
        key = self._settings.prefix + wanted.duty
        version = await write_once(self._store, key, body, condition)
        return dataclasses.replace(wanted, version=version)
