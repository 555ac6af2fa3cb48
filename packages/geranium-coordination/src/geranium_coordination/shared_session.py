"""The session that all duties of a process share."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from .clock import Clock
from .sessions import Session, SessionSettings
from .store import ObjectStore


class SharedSession:
    """Opens a session for its first user and closes it after the last one.

    An expired session is replaced for the next user. The users of the
    expired session have lost their authority.
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
        self.session: Session | None = None
        self._store = store
        self._clock = clock
        self._settings = settings
        self._rng = rng
        self._lock = asyncio.Lock()
        self._users_by_session: dict[Session, int] = {}
        self._renewals_by_session: dict[Session, asyncio.Task[None]] = {}

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[Session]:
        """Yield a valid session; close it after its last user.

        Raises:
            StoreError: If a session could not be opened.
        """
        session = await self._acquire()
        try:
            yield session
        finally:
            await self._release(session)

    async def _acquire(self) -> Session:
        async with self._lock:
            if self.session is None or not self.session.is_valid():
                self.session = await self._open()
            self._users_by_session[self.session] += 1
            return self.session

    async def _open(self) -> Session:
        session = Session(
            self._store,
            self._clock,
            self._settings,
            self.host,
            self._rng,
        )
        await session.open()
        self._users_by_session[session] = 0
        self._renewals_by_session[session] = asyncio.create_task(
            session.keep_alive()
        )
        return session

    async def _release(self, session: Session) -> None:
        self._users_by_session[session] -= 1
        if self._users_by_session[session]:
            return
        self._users_by_session.pop(session)
        self._renewals_by_session.pop(session).cancel()
        if self.session is session:
            self.session = None
        if session.is_valid():
            await session.close()
        session.invalidate()
