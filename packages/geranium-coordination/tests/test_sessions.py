"""Tests of session validity and of writes with lost responses."""

import asyncio
import random

import pytest
from geranium_coordination import (
    AnswerLostError,
    IfAbsent,
    IfVersion,
    MemoryStore,
    Session,
    SessionSettings,
)
from geranium_coordination.operations import write_once

from .virtual_time import LoopClock, run

LONG_TIMEOUT = SessionSettings(call_timeout_s=60)


class SlowStore(MemoryStore):
    """Delays writes, and may lose their responses after they took effect."""

    delay_s: float = 0
    is_lossy = False

    async def write(self, key, body, condition):
        await asyncio.sleep(self.delay_s)
        version = await super().write(key, body, condition)
        if self.is_lossy:
            raise AnswerLostError(key)
        return version


async def opened(store, settings=LONG_TIMEOUT):
    session = Session(store, LoopClock(), settings, 'h', random.Random(1))
    await session.open()
    return session


def keep_with(delay_s, is_lossy, until):
    """Return whether a session is still valid with such responses."""

    async def main():
        store = SlowStore()
        session = await opened(store)
        keeper = asyncio.create_task(session.keep_alive())
        await asyncio.sleep(2.5)
        store.delay_s = delay_s
        store.is_lossy = is_lossy
        await asyncio.sleep(until - 2.5)
        keeper.cancel()
        return session.is_valid()

    return run(main())


def test_lapsed_session_stays_lapsed_when_an_answer_comes_late():
    """The last renewal is at 2 s; that of 3 s gets its response at 7.5 s."""
    assert keep_with(delay_s=3, is_lossy=False, until=7.6)
    assert not keep_with(delay_s=4.5, is_lossy=False, until=7.6)


def test_extension_after_the_deadline_is_what_that_prevents(monkeypatch):
    def extend_after_lapse(self, renewal):
        self._deadline = self._valid_until(renewal)

    monkeypatch.setattr(Session, '_apply_renewal', extend_after_lapse)
    assert keep_with(delay_s=4.5, is_lossy=False, until=7.6)


def test_lost_answers_are_read_back(monkeypatch):
    assert keep_with(delay_s=0.1, is_lossy=True, until=60)

    async def fail(self, failure):
        raise failure

    monkeypatch.setattr(
        'geranium_coordination.session_object.SessionObject._read_back', fail
    )
    assert not keep_with(delay_s=0.1, is_lossy=True, until=60)


def test_closed_session_is_over_and_gone():
    async def main():
        store = MemoryStore()
        session = await opened(store)
        await session.close()
        assert not session.is_valid()
        assert not await store.read_prefix('')

    run(main())


@pytest.mark.parametrize('condition', [IfAbsent(), IfVersion(1)])
def test_lost_write_takes_effect_once(condition):
    async def main():
        store = SlowStore()
        if condition != IfAbsent():
            await store.write('k', {}, IfAbsent())
        store.is_lossy = True
        version = await write_once(store, 'k', {'operation': 'o'}, condition)
        assert (await store.read('k')).version == version

    run(main())
