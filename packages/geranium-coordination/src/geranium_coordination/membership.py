"""This process's view of all sessions and leases.

Two reads return all sessions and all leases, independent of the number of
duties. Leases are read first: a session that a lease names existed before
the lease was written, so a session that is missing from the later read has
ended.
"""

import asyncio
import dataclasses
import logging
import math
from typing import Any

from .clock import Clock
from .exceptions import StoreError
from .leases import LeaseRecord, LeaseSettings, read_lease
from .sessions import SessionSettings
from .store import IfVersion, ObjectStore, StoredObject
from .timeouts import TimedStore

_LOGGER = logging.getLogger(__name__)
_MAX_TERM_S = 3600  # of a session


@dataclasses.dataclass(frozen=True, slots=True)
class SessionView:
    """A session as observed by this process.

    ``unchanged_since`` is the instant, on the clock of this process, at
    which the current version was first known. ``confirmed_at`` is the last
    instant at which the session is known to have had that version.
    """

    identity: str
    host: str
    version: int
    term_s: float
    unchanged_since: float
    confirmed_at: float

    def is_expired(self, settings: SessionSettings) -> bool:
        """Return whether the session has certainly expired for its owner."""
        term_s = max(self.term_s, settings.term_s)
        unchanged_s = self.confirmed_at - self.unchanged_since
        return unchanged_s >= term_s + settings.margin_s


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipView:
    """All sessions and leases at one refresh."""

    sessions_by_identity: dict[str, SessionView]
    leases_by_duty: dict[str, LeaseRecord]
    era: int = 0

    def holders_by_duty(self) -> dict[str, str]:
        """Return the holder's host for each duty that has a holder."""
        return {
            duty: lease.host
            for duty, lease in self.leases_by_duty.items()
            if lease.host and lease.session in self.sessions_by_identity
        }


class Membership:
    """Reads sessions and leases from the store and keeps the latest view."""

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
        self._free_from = -math.inf
        self._has_refreshed = False
        self.view = MembershipView({}, {}, store.era)

    async def refresh(self) -> None:
        """Read all leases, then all sessions.

        Raises:
            StoreError: If the store failed. The view is unchanged.
        """
        leases = await self._read_leases()
        sessions = await self._read_sessions()
        era = self._store.era
        if era != self.view.era and self._has_refreshed:
            self._free_from = self._clock.now() + self._sessions.expiry_wait_s
        self._has_refreshed = True
        self.view = MembershipView(sessions, leases, era)
        self._refreshed.set()
        self._refreshed = asyncio.Event()

    async def next_view(self) -> MembershipView:
        """Wait for the next refresh and return its view."""
        await self._refreshed.wait()
        return self.view

    def is_free(self, lease: LeaseRecord | None) -> bool:
        """Return whether the lease may be acquired because nobody holds it.

        ``None`` is a lease that does not exist yet. One that can't be read
        counts as held.

        A session may also acquire a lease again that already names it, by
        the same conditional write. The lost response of an acquisition or a
        release leaves such a lease.

        After the store was restored, nothing is free for a whole term: the
        objects of a holder that has not noticed it yet may be gone.
        """
        if self._clock.now() < self._free_from:
            return False
        if lease is not None and not lease.is_readable:
            return False
        if lease is None or lease.session is None:
            return True
        holder = self.view.sessions_by_identity.get(lease.session)
        return holder is None or holder.is_expired(self._sessions)

    async def sweep(self) -> None:
        """Delete the objects of expired sessions.

        A failed deletion is left to the next sweep.
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
        leases_by_duty = {record.duty: record for record in records}
        for duty, record in leases_by_duty.items():
            known = self.view.leases_by_duty.get(duty)
            if not record.is_readable and record != known:
                _LOGGER.warning('the lease of %s is unreadable', duty)
        return leases_by_duty

    async def _read_sessions(self) -> dict[str, SessionView]:
        sent_at = self._clock.now()
        found_objects = await self._store.read_prefix(self._sessions.prefix)
        received_at = self._clock.now()
        views = (
            self._update_session(found, sent_at, received_at)
            for found in found_objects
        )
        return {view.identity: view for view in views}

    def _update_session(
        self,
        found: StoredObject,
        sent_at: float,
        received_at: float,
    ) -> SessionView:
        identity = found.key.removeprefix(self._sessions.prefix)
        known = self.view.sessions_by_identity.get(identity)
        if known and known.version == found.version:
            return dataclasses.replace(known, confirmed_at=sent_at)
        host, term_s = self._read_body(identity, found.body)
        return SessionView(
            identity=identity,
            host=host,
            version=found.version,
            term_s=term_s,
            unchanged_since=received_at,
            confirmed_at=received_at,
        )

    def _read_body(self, identity: str, body: Any) -> tuple[str, float]:
        """Return the host and the term of a session.

        The session of another build, whose body may be unreadable here, still
        holds its leases for the common term.
        """
        match body:
            case {
                'host': str() as host,
                'term_s': float() | int() as term_s,
            } if 0 <= term_s <= _MAX_TERM_S:
                return host, term_s
            case _:
                _LOGGER.warning('session %s is unreadable', identity)
                return '', self._sessions.term_s
