"""The wait for a silent target ends only for an accepted attempt."""

import asyncio

import geranium_relay as relay
import pytest
from geranium_relay.attempts import ResponseTimeouts
from geranium_relay.silence import SilenceLimit


class Reservations:
    """Grants a reservation from the given ask on."""

    def __init__(self, granted_at: int) -> None:
        self.asked = 0
        self.reserved = 0
        self._granted_at = granted_at

    def reserve(self) -> bool:
        self.asked += 1
        granted = self.asked >= self._granted_at
        self.reserved += granted
        return granted

    def release(self) -> None:
        self.reserved -= 1

    def limit(self) -> SilenceLimit:
        return SilenceLimit(ResponseTimeouts(), self.reserve, self.release)


def soon() -> float:
    return asyncio.get_running_loop().time() + 0.01


async def test_wait_ends_once_an_attempt_is_accepted() -> None:
    reservations = Reservations(granted_at=3)

    with pytest.raises(relay.TargetSilentError):
        async with reservations.limit().until(soon()):
            await asyncio.Event().wait()

    assert reservations.asked == 3
    assert reservations.reserved == 1


async def test_answer_in_time_asks_for_no_attempt() -> None:
    reservations = Reservations(granted_at=1)

    async with reservations.limit().until(soon()):
        await asyncio.sleep(0)
    await asyncio.sleep(0.03)

    assert not reservations.asked


async def test_attempt_is_released_if_the_answer_comes_just_then() -> None:
    reservations = Reservations(granted_at=1)
    answered = asyncio.Event()

    def reserve() -> bool:
        answered.set()
        return reservations.reserve()

    limit = SilenceLimit(ResponseTimeouts(), reserve, reservations.release)
    async with limit.until(soon()):
        await answered.wait()
    limit.release()

    assert reservations.asked == 1
    assert reservations.reserved == 0
