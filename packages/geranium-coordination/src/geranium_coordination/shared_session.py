"""The one session that a process has while it holds any duty."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from .clock import Clock
from .sessions import Session, SessionSettings
from .store import ObjectStore


class SharedSession:
    """Opens a session when the first user comes, closes it after the last.

    A session that lapsed is replaced for the next user; those who used it
    have lost their authority.
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
        self._keepers_by_session: dict[Session, asyncio.Task[None]] = {}

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[Session]:
        """Give a valid session; close it once nobody uses it any more.

        Raises:
            StoreError: If a session could not be opened.
        """
        session = await self._enter()
        try:
            yield session
        finally:
            await self._leave(session)

    async def _enter(self) -> Session:
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
        self._keepers_by_session[session] = asyncio.create_task(
            session.keep_alive()
        )
        return session

    async def _leave(self, session: Session) -> None:
        self._users_by_session[session] -= 1
        if self._users_by_session[session]:
            return
        self._users_by_session.pop(session)
        self._keepers_by_session.pop(session).cancel()
        if self.session is session:
            self.session = None
        if session.is_valid():
            await session.close()
        session.invalidate()
