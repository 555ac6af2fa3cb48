"""The list of targets tells later whether targets have crashed under runs."""

import geranium_relay as relay
import pytest
from geranium_policy.crash_causes import (
    CrashCauses,
    CrashCauseSettings,
    RequestFingerprints,
)
from geranium_policy.suspects import SuspectRegister, SuspectSettings
from geranium_relay.crash_suspicion import record_ended_targets

from .test_peer_updates import Clock, make_target

BROKEN = RequestFingerprints(1)
KNOWN = make_target('t', born_ms=5)
UNCHANGED = relay.FleetChange(came=(), gone=(), leaving=())


def crashes_after(change: relay.FleetChange, *, leaving: bool = False) -> int:
    """Return how many crashes a change proves after a run has broken."""
    clock = Clock()
    log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
    limits = relay.TargetRateLimits('h', lambda _key: {}, clock.now, float, log)
    notices = relay.TargetNotices(clock.now, log, limits)
    register = SuspectRegister(SuspectSettings())
    causes = CrashCauses(CrashCauseSettings(), register)
    causes.unproven.add(BROKEN.request, (), KNOWN.key, clock.now())
    if leaving:
        notices.record(KNOWN, relay.TargetNotice(leaving=True))

    record_ended_targets(
        change, causes, notices, relay.Outbox(), log, clock.now()
    )

    return len(tuple(register.active_crashes(clock.now())))


@pytest.mark.parametrize(
    ('change', 'crashes'),
    [
        pytest.param(UNCHANGED, 0, id='listed'),
        pytest.param(
            relay.FleetChange((make_target('t', born_ms=6),), (), ()),
            1,
            id='started again',
        ),
        pytest.param(relay.FleetChange((), (KNOWN,), ()), 1, id='gone'),
        pytest.param(
            relay.FleetChange((make_target('t', born_ms=4),), (), ()),
            0,
            id='earlier start in a restored store',
        ),
        pytest.param(
            relay.FleetChange((make_target('o'),), (make_target('p'),), ()),
            0,
            id='others',
        ),
    ],
)
def test_end_of_this_start_of_the_target_is_a_crash(
    change: relay.FleetChange, crashes: int
) -> None:
    assert crashes_after(change) == crashes


def test_end_of_a_target_that_was_leaving_is_no_crash() -> None:
    gone = relay.FleetChange((), (KNOWN,), ())

    assert crashes_after(gone, leaving=True) == 0
