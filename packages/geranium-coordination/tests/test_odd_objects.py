"""Odd leases and sessions in the store hide no others."""

import math

import geranium_coordination as coordination
import pytest

from .virtual_time import LoopClock, run

LEASES = coordination.LeaseSettings()
SESSIONS = coordination.SessionSettings()
LEASE = {'epoch': 1, 'session': 'h.1', 'host': 'h'}
SESSION = {'host': 'h', 'term_s': 5.0}
ODD_BODIES = (None, 3, 'text', [], {})
ODD_LEASES = (
    *ODD_BODIES,
    {**LEASE, 'epoch': '1'},
    {**LEASE, 'epoch': math.inf},
    {**LEASE, 'session': []},
    {**LEASE, 'session': 3},
    {**LEASE, 'host': {}},
)
ODD_SESSIONS = (
    *ODD_BODIES,
    {**SESSION, 'host': []},
    {**SESSION, 'term_s': '5'},
    {**SESSION, 'term_s': None},
    {**SESSION, 'term_s': math.inf},
    {**SESSION, 'term_s': math.nan},
    {**SESSION, 'term_s': int('9' * 400)},
    {**SESSION, 'term_s': -1},
)


def view_of(lease, session):
    """Return the view of a store with an odd object among others."""

    async def main():
        store = coordination.MemoryStore()
        for prefix, odd, ordinary in (
            (LEASES.prefix, lease, LEASE),
            (SESSIONS.prefix, session, SESSION),
        ):
            await store.write(f'{prefix}a', odd, coordination.Unconditional())
            await store.write(
                f'{prefix}h.1', ordinary, coordination.Unconditional()
            )
        membership = coordination.Membership(
            store, LoopClock(), SESSIONS, LEASES
        )
        await membership.refresh()
        await membership.sweep()
        return membership.view

    return run(main())


@pytest.mark.parametrize('odd', ODD_LEASES)
def test_odd_lease_hides_no_other(odd):
    view = view_of(odd, SESSION)

    assert not view.leases_by_duty['a'].is_readable
    assert view.leases_by_duty['h.1'].is_readable
    assert view.holders_by_duty() == {'h.1': 'h'}


@pytest.mark.parametrize('odd', ODD_SESSIONS)
def test_odd_session_hides_no_other(odd):
    view = view_of(LEASE, odd)

    assert view.sessions_by_identity['h.1'].host == 'h'
    assert not view.sessions_by_identity['a'].host
    assert view.sessions_by_identity['a'].term_s == SESSIONS.term_s


@pytest.mark.parametrize('odd', ODD_BODIES)
def test_odd_object_is_of_no_operation(odd):
    found = coordination.StoredObject('k', 1, odd)

    assert coordination.operations.get_operation_id(found) is None
