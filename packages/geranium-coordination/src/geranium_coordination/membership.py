"""What this process knows of sessions and leases, and since when.

Two reads bring all sessions and all leases, however many duties there are.
Leases are read first: a session that a lease names existed before the lease
was written, so a session that is missing from the later read is over.
"""

import asyncio
import dataclasses

from .clock import Clock
from .exceptions import StoreError
from .leases import LeaseRecord, LeaseSettings, read_lease
from .sessions import SessionSettings
from .store import IfVersion, ObjectStore, StoredObject
from .timeouts import TimedStore


@dataclasses.dataclass(frozen=True, slots=True)
class SessionView:
    """A session as seen from here.

    ``standing_since`` is the instant, on the clock of this process, at
    which the present version was first known; ``confirmed_at`` is the last
    instant at which the session is known to have kept it.
    """

    identity: str
    host: str
    version: int
    term_s: float
    standing_since: float
    confirmed_at: float

    def is_expired(self, settings: SessionSettings) -> bool:
        """Say whether the holder has certainly stopped believing in it."""
        term_s = max(self.term_s, settings.term_s)
        standing_s = self.confirmed_at - self.standing_since
        return standing_s >= term_s + settings.margin_s


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipView:
    """All sessions and leases as of one refresh."""

    sessions_by_identity: dict[str, SessionView]
    leases_by_duty: dict[str, LeaseRecord]

    def holders_by_duty(self) -> dict[str, str]:
        """Return the host of each duty's holder, where there is one."""
        return {
            duty: lease.host
            for duty, lease in self.leases_by_duty.items()
            if lease.host and lease.session in self.sessions_by_identity
        }


class Membership:
    """The view of one process, refreshed by reading the store."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        sessions: SessionSettings,
        leases: LeaseSettings,
    ) -> None:
        self._store = TimedStore(store, clock, sessions.call_timeout_s)
        self._clock = clock
        self._sessions = sessions
        self._leases = leases
        self._refreshed = asyncio.Event()
        self.view = MembershipView({}, {})

    async def refresh(self) -> None:
        """Read all leases, then all sessions.

        Raises:
            StoreError: If the store failed; the view stays as it was.
        """
        leases = await self._read_leases()
        sessions = await self._read_sessions()
        self.view = MembershipView(sessions, leases)
        self._refreshed.set()
        self._refreshed = asyncio.Event()

    async def next_view(self) -> MembershipView:
        """Wait for the next refresh and return what it found."""
        await self._refreshed.wait()
        return self.view

    def is_free(self, lease: LeaseRecord) -> bool:
        """Say whether the lease may be taken: nobody believes to hold it.

        A session may also take again what names itself, by the same
        conditional write: the lost answer of a take or of a release leaves
        such a lease.
        """
        if lease.session is None:
            return True
        holder = self.view.sessions_by_identity.get(lease.session)
        return holder is None or holder.is_expired(self._sessions)

    async def sweep(self) -> None:
        """Delete the objects of sessions that are over.

        A deletion that fails is left for the next sweep.
        """
        for session in self.view.sessions_by_identity.values():
            if session.is_expired(self._sessions):
                await self._delete(session)

    async def _delete(self, session: SessionView) -> None:
        key = self._sessions.prefix + session.identity
        try:
            await self._store.delete(key, IfVersion(session.version))
        except StoreError:
            return

    async def _read_leases(self) -> dict[str, LeaseRecord]:
        prefix = self._leases.prefix
        records = (
            read_lease(found, prefix)
            for found in await self._store.read_prefix(prefix)
        )
        return {record.duty: record for record in records}

    async def _read_sessions(self) -> dict[str, SessionView]:
        sent_at = self._clock.now()
        found_objects = await self._store.read_prefix(self._sessions.prefix)
        received_at = self._clock.now()
        views = (
            self._see(found, sent_at, received_at) for found in found_objects
        )
        return {view.identity: view for view in views}

    def _see(
        self,
        found: StoredObject,
        sent_at: float,
        received_at: float,
    ) -> SessionView:
        identity = found.key.removeprefix(self._sessions.prefix)
        known = self.view.sessions_by_identity.get(identity)
        if known and known.version == found.version:
            return dataclasses.replace(known, confirmed_at=sent_at)
        return SessionView(
            identity=identity,
            host=found.body['host'],
            version=found.version,
            term_s=found.body['term_s'],
            standing_since=received_at,
            confirmed_at=received_at,
        )
