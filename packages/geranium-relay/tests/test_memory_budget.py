"""Who may hold bytes of a host, and who gives them up for others."""

import asyncio

import pytest
from geranium_relay.client_limits import (
    Account,
    BudgetGate,
    BudgetSettings,
    MemoryBudget,
    RefusedBytesError,
    budget_settings,
)

MB = 1_000_000
BODY_BYTES = 4_194_304
SETTINGS = BudgetSettings(10 * MB)


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s: float = 0

    def now(self) -> float:
        return self.now_s


class Client:
    """An account whose eviction releases it."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.account: Account = budget.open(self._leave)

    def _leave(self) -> None:
        self._budget.close(self.account)


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def budget(clock: Clock) -> MemoryBudget:
    return MemoryBudget(SETTINGS, clock.now)


# A few large bodies used up what small requests need.
def test_part_of_the_budget_is_kept_for_small_accounts(
    budget: MemoryBudget,
) -> None:
    large, small = Client(budget), Client(budget)

    assert budget.try_hold(large.account, 7 * MB)
    assert not budget.try_hold(large.account, MB)
    assert budget.try_hold(small.account, SETTINGS.small_bytes)


def test_account_without_progress_is_evicted_before_one_that_moves(
    budget: MemoryBudget, clock: Clock
) -> None:
    stalled, moving = Client(budget), Client(budget)
    for client in (stalled, moving):
        budget.hold(client.account, 3 * MB)
        client.account.record_progress(3 * MB)
    clock.now_s = 5
    moving.account.record_progress(MB)

    assert budget.evict_for(moving.account, 2 * MB) is stalled.account
    assert budget.try_hold(moving.account, 2 * MB)


# A client that sends a byte now and then has to be told from one that sends.
def test_drip_is_evicted_before_a_body_that_arrives(
    budget: MemoryBudget, clock: Clock
) -> None:
    drip, body = Client(budget), Client(budget)
    budget.hold(drip.account, 2 * MB)
    budget.hold(body.account, 5 * MB)
    for _ in range(40):
        clock.now_s += 0.1
        drip.account.record_progress(1)
        body.account.record_progress(65536)

    assert budget.evict_for(body.account, MB) is drip.account


def test_time_in_which_the_host_does_not_read_is_no_lack_of_progress(
    budget: MemoryBudget, clock: Clock
) -> None:
    waiting, stalled = Client(budget), Client(budget)
    for client in (waiting, stalled):
        budget.hold(client.account, 3 * MB)
    waiting.account.record_progress(3 * MB)
    waiting.account.waiting_since = clock.now()
    clock.now_s = 60

    assert budget.evict_for(waiting.account, 2 * MB) is stalled.account


def test_requests_that_may_have_run_are_not_evicted(
    budget: MemoryBudget,
) -> None:
    running = budget.open(None)
    budget.hold(running, 10 * MB)

    assert budget.evict_for(None, 0) is None
    assert budget.evict_for(budget.open(None), MB) is None


# Each waiter evicted another account before the first had released its bytes.
def test_nothing_more_is_evicted_while_enough_is_on_its_way_out(
    budget: MemoryBudget,
) -> None:
    leaving = budget.open(lambda: None)
    budget.hold(leaving, 5 * MB)
    other = Client(budget)
    budget.hold(other.account, 2 * MB)

    assert budget.evict_for(other.account, MB) is leaving
    assert budget.evict_for(other.account, MB) is None
    budget.close(leaving)
    assert budget.evicting_bytes == 0
    assert budget.used_bytes == 2 * MB


def test_connections_without_requests_are_not_evicted_for_their_bytes(
    budget: MemoryBudget,
) -> None:
    idle = Client(budget)
    budget.set_buffered(idle.account, 10_000)
    budget.hold(budget.open(None), 10 * MB)

    assert budget.evict_for(None, 0) is None


# Smallest host of the deployments: a body of maxBodyBytes has to fit.
def test_smallest_host_takes_a_whole_body() -> None:
    sizes = budget_settings(160 * MB, 75 * MB)
    budget = MemoryBudget(sizes, Clock().now)

    assert budget.try_hold(budget.open(None), BODY_BYTES)
    assert sizes.total_bytes < 85 * MB


async def test_waiting_account_gets_bytes_that_others_release() -> None:
    clock = asyncio.get_running_loop().time
    gate = BudgetGate(MemoryBudget(SETTINGS, clock), clock)
    held = gate.budget.open(None)
    waiting = gate.budget.open(None)
    await gate.hold(held, 7 * MB)
    granted = gate.hold(waiting, 5 * MB)
    waiter = asyncio.create_task(granted)
    await asyncio.sleep(0)
    assert not waiter.done()

    gate.release(held)

    await waiter
    assert waiting.held_bytes == 5 * MB


async def test_evicted_account_gets_no_more_bytes() -> None:
    clock = asyncio.get_running_loop().time
    gate = BudgetGate(MemoryBudget(SETTINGS, clock), clock)
    account = gate.budget.open(lambda: None)
    await gate.hold(account, 7 * MB)

    with pytest.raises(RefusedBytesError):
        await gate.hold(account, 2 * MB)


# Responses that had all been read in part waited for each other for ever.
async def test_responses_that_fill_the_budget_complete_one_by_one() -> None:
    clock = asyncio.get_running_loop().time
    gate = BudgetGate(MemoryBudget(SETTINGS, clock), clock)

    async def read() -> None:
        account = gate.budget.open(None)
        for _ in range(4):
            await gate.hold(account, MB)
        gate.release(account)

    reads = [read() for _ in range(6)]
    async with asyncio.timeout(40):
        await asyncio.gather(*reads)
    assert gate.budget.used_bytes == 0
