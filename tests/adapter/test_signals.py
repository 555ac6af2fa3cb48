"""A host acts on every signal, whenever it comes."""

import json
import signal
import time

import pytest
from geranium_platform.draining import STOP_MARGIN_S

from .waits import ticks

STALL_S = 0.5


async def leaving_line(capfd: pytest.CaptureFixture) -> dict[str, object]:
    """Return the line in which a host logs that it is stopping."""
    logged = ''
    async for _ in ticks():
        logged += capfd.readouterr().out
        for line in logged.splitlines():
            if '"leaving"' in line and line.endswith('}'):
                return json.loads(line)
    raise AssertionError


# The grace period began when the event loop came to it, so that a busy host
# was killed with open requests.
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT], ids=str)
async def test_grace_period_begins_with_the_first_signal(
    capfd, world, number: signal.Signals
) -> None:
    clock = world.host._clock
    signal.raise_signal(number)
    sent_before = clock.now()
    time.sleep(STALL_S)  # noqa: ASYNC251 -- stalls the loop
    signal.raise_signal(signal.SIGHUP)
    signal.raise_signal(signal.SIGTERM)

    line = await leaving_line(capfd)

    grace_s = world.settings.bounds.grace_s
    deadline = world.host._path.shutdown.deadline
    assert deadline <= sent_before + grace_s - STOP_MARGIN_S
    assert line['late_s'] >= STALL_S
    # It may be as late at its end.
    assert deadline <= sent_before + grace_s - STOP_MARGIN_S - STALL_S
    assert line['left_s'] <= grace_s - STOP_MARGIN_S - STALL_S
