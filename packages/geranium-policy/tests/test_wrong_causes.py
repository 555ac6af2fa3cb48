"""A part that was taken for a cause, though it is sound, serves again."""

import random

import pytest
from geranium_policy.crash_causes import (
    CrashCauses,
    CrashCauseSettings,
    RequestFingerprints,
)
from geranium_policy.suspects import SuspectRegister, SuspectSettings

SHARED, NEW_PART = 1, 2
TARGETS = 8
CRASHES_WITHIN_S = 3
SEEDS = 200
SETTINGS = CrashCauseSettings()


class Host:
    """The crashes that one host knows, and what it concludes from them."""

    def __init__(self) -> None:
        self.register = SuspectRegister(SuspectSettings())
        self.causes = CrashCauses(SETTINGS, self.register)

    def rejects(self, request: int, now: float, *parts: int) -> bool:
        fingerprints = RequestFingerprints(request, parts)
        return self.causes.rejects(fingerprints, now)


def lose_links(seed: int) -> tuple[Host, Host]:
    """Return a host that took lost links for crashes, and another one."""
    source = random.Random(seed)
    cut, other = Host(), Host()
    for host in (cut, other):
        host.causes.record_completion(RequestFingerprints(0, (SHARED,)), 0)
    for number in range(TARGETS):
        at = source.uniform(0, CRASHES_WITHIN_S)
        request = RequestFingerprints(100 + number, (SHARED, NEW_PART))
        notices = cut.causes.record_crash(request, f't{number}@1', at)
        other.register.apply(notices, at)
    return cut, other


@pytest.mark.parametrize('seed', range(SEEDS))
def test_part_serves_again_once_the_crashed_targets_serve(seed: int) -> None:
    cut, other = lose_links(seed)
    now = CRASHES_WITHIN_S + SETTINGS.withdraw_after_s
    assert other.rejects(1, now, SHARED, NEW_PART)

    for number in range(TARGETS):
        notices = other.causes.record_response(f't{number}@1', now, now)
        cut.register.apply(notices, now)

    assert not other.rejects(1, now, SHARED, NEW_PART)
    assert not cut.rejects(1, now, SHARED, NEW_PART)


def test_request_under_two_lost_links_serves_again() -> None:
    host = Host()
    request = RequestFingerprints(5)
    for number in range(2):
        host.causes.record_crash(request, f't{number}@1', number)
    now = 2 + SETTINGS.withdraw_after_s
    assert host.causes.rejects(request, now)

    host.causes.record_response('t0@1', now, now)

    assert not host.causes.rejects(request, now)


def test_response_to_a_request_sent_soon_after_a_crash_clears_nothing() -> None:
    """Another start of the target may not be listed yet."""
    host = Host()
    for number in range(3):
        request = RequestFingerprints(number, (NEW_PART,))
        host.causes.record_crash(request, f't{number}@1', number)

    for number in range(3):
        sent_at = number + SETTINGS.withdraw_after_s
        assert not host.causes.record_response(f't{number}@1', sent_at, 60)

    assert host.rejects(9, 60, NEW_PART)


def test_other_start_of_a_target_clears_no_crash() -> None:
    host = Host()
    for number in range(3):
        request = RequestFingerprints(number, (NEW_PART,))
        host.causes.record_crash(request, f't{number}@1', number)

    for number in range(3):
        host.causes.record_response(f't{number}@2', 60, 60)

    assert host.rejects(9, 60, NEW_PART)
