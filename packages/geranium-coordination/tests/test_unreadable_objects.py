"""Sessions and leases that another build has written."""

import random

import pytest
from geranium_coordination import (
    LeaseSettings,
    MemoryStore,
    SessionSettings,
    Unconditional,
)
from geranium_coordination.leases import Leases
from geranium_coordination.membership import Membership
from geranium_coordination.sessions import Session

from .virtual_time import LoopClock, run

SESSIONS = SessionSettings()
LEASES = LeaseSettings()
UNREADABLE = (None, [], {}, {'host': 1, 'term_s': 'x'})


async def put(store: MemoryStore, key: str, body: object) -> None:
    await store.write(key, body, Unconditional())


def make_membership(store: MemoryStore) -> Membership:
    return Membership(store, LoopClock(), SESSIONS, LEASES)


@pytest.mark.parametrize('body', UNREADABLE)
def test_holder_with_an_unreadable_session_keeps_its_lease(
    body: object,
) -> None:
    async def main() -> bool:
        store = MemoryStore()
        lease = {'epoch': 1, 'session': 'h1.later', 'host': 'h1'}
        await put(store, f'{LEASES.prefix}d', lease)
        await put(store, f'{SESSIONS.prefix}h1.later', body)
        membership = make_membership(store)
        await membership.refresh()
        return membership.is_free(membership.view.leases_by_duty['d'])

    assert not run(main())


def test_unreadable_session_expires_like_others() -> None:
    async def main() -> tuple[object, ...]:
        store, clock = MemoryStore(), LoopClock()
        await put(store, f'{SESSIONS.prefix}h1.later', {})
        membership = Membership(store, clock, SESSIONS, LEASES)
        await membership.refresh()
        await clock.sleep_until(clock.now() + SESSIONS.expiry_wait_s)
        await membership.refresh()
        await membership.sweep()
        return await store.read_prefix(SESSIONS.prefix)

    assert not run(main())


@pytest.mark.parametrize('body', UNREADABLE)
def test_unreadable_lease_is_not_taken(body: object) -> None:
    async def main() -> tuple[object, set[str]]:
        store, clock = MemoryStore(), LoopClock()
        await put(store, f'{LEASES.prefix}d', body)
        other = Session(store, clock, SESSIONS, 'h2', random.Random(1))
        await other.open()
        leases = Leases(store, clock, LEASES, random.Random(1))
        vacant = await leases.create('e')
        membership = make_membership(store)
        await membership.refresh()
        await leases.acquire(vacant, other)
        found = membership.view.leases_by_duty
        return membership.is_free(found['d']), set(found)

    is_free, duties = run(main())

    assert not is_free
    assert duties == {'d', 'e'}
