"""Requests under which all targets of a service end at the same moment."""

import asyncio
import pathlib

import pytest
from geranium_platform_standins import StandinStore
from geranium_standins.host_links import TARGETS_IP, CutMode

from .conftest import target_entry
from .host_pair import Pair, run_pair
from .test_wrong_crashes import EARLY, IN_FLIGHT, REFUSED, HeldTargets
from .waits import wait_for

RESTARTED_AT_MS = 2


async def lose_all_targets(pair: Pair, held: HeldTargets) -> None:
    """Cut all hosts from all targets under requests that are alike."""
    in_flight = [
        asyncio.create_task(pair.request(0, 'unsafe', f'{EARLY}-{number}'))
        for number in range(IN_FLIGHT)
    ]
    for _ in in_flight:
        await held.arrived.acquire()
    await pair.cut_some(pair.targets, CutMode.RESET)
    lost, _ = await asyncio.wait(in_flight, timeout=2)
    assert {task.result()[0] for task in lost} == {502}
    held.answering.set()


async def restart_in_list(pair: Pair, store: StandinStore) -> None:
    """List a new start of each target, and wait until the hosts know it."""
    for number, port in enumerate(pair.ports):
        entry = target_entry(f'{TARGETS_IP}:{port}', version='v1')
        store.put('servers', f't{number}', {**entry, 'born': RESTARTED_AT_MS})

    async def is_known() -> bool:
        fleets = [linked.host.state.fleet for linked in pair.hosts]
        return all(
            target.born_ms == RESTARTED_AT_MS
            for fleet in fleets
            for target in fleet.targets_by_identity.values()
        )

    await wait_for(is_known)


@pytest.mark.parametrize(
    ('restarted', 'status', 'runs'), [(True, REFUSED, 0), (False, 200, 1)]
)
async def test_request_that_ended_all_targets_at_once_is_remembered(
    store_standin: StandinStore,
    store_address: str,
    tmp_path: pathlib.Path,
    restarted: bool,
    status: int,
    runs: int,
) -> None:
    """No host could tell, so the request ended all targets again and again.

    If the targets were only cut off, the request is served again.
    """
    held = HeldTargets()
    async with run_pair(
        store_address, store_standin, tmp_path, handler=held.respond
    ) as pair:
        await lose_all_targets(pair, held)
        if restarted:
            await restart_in_list(pair, store_standin)
        await pair.heal_all()
        await asyncio.sleep(2)  # services that are cut are checked again

        for host in (0, 1):
            answered, _ = await pair.request(host, 'unsafe', f'later-{host}')
            assert answered == status
            assert pair.runs_of(f'later-{host}') == runs
