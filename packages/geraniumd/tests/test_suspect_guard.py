"""A suspect does not wait for an engine that has crashed.

The last load report of a crashed engine may count the suspect's own sequence.
No later report replaces it, so the engine never appears idle.
"""

import asyncio
import math
from types import SimpleNamespace

import pytest
from geranium_policy.suspects import SuspectRegister, SuspectSettings
from geraniumd.callers.suspects import SuspectGuard

CALL = SimpleNamespace(
    service=SimpleNamespace(name='llm'),
    incoming=SimpleNamespace(deadline=math.inf),
)


class SteppingClock:
    """Advances by one second on each read."""

    def __init__(self) -> None:
        self.instant = 0

    def now(self) -> float:
        self.instant += 1
        return self.instant


def make_guard(*entries) -> SuspectGuard:
    context = SimpleNamespace(
        suspects=SuspectRegister(SuspectSettings()),
        fleet=SimpleNamespace(engines=lambda _service: entries),
        gossip=SimpleNamespace(notify_peers=list),
        clock=SteppingClock(),
    )
    return SuspectGuard(context, None)


def make_entry(name: str, sampled_at: float) -> SimpleNamespace:
    view = SimpleNamespace(
        accepting=True,
        load=SimpleNamespace(sampled_at=sampled_at),
        sequences=lambda: 1,
    )
    return SimpleNamespace(name=name, view=view, reservations=0)


@pytest.mark.parametrize('sampled_at', [0, -100])
async def test_engine_that_stopped_reporting_with_a_running_sequence(
    sampled_at,
) -> None:
    """The last report was sampled while the suspect was still running."""
    entry = make_entry('engine-3', sampled_at)
    guard = make_guard(entry)

    async with asyncio.timeout(30):
        async with guard.reserve(CALL, ()) as reserved:
            assert reserved is None

    assert entry.reservations == 0
