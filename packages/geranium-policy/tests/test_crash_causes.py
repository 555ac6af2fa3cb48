"""Crashes are attributed to the part that the requests had in common."""

import itertools

import pytest
from geranium_policy.crash_causes import (
    CrashCauses,
    CrashCauseSettings,
    RequestFingerprints,
)
from geranium_policy.suspects import (
    SuspectRegister,
    SuspectSettings,
    Verdict,
)

FIRST, HARMFUL, OTHER = 1, 2, 3
SETTINGS = CrashCauseSettings(min_crashes=3, moment_s=0.25, evidence_s=100)


class Fleet:
    """A host's causes, with a new request and crash id at each call."""

    def __init__(self) -> None:
        self.register = SuspectRegister(SuspectSettings())
        self.causes = CrashCauses(SETTINGS, self.register)
        self._numbers = itertools.count(100)

    def request(self, *parts: int) -> RequestFingerprints:
        return RequestFingerprints(next(self._numbers), parts)

    def crash(self, now: float, *parts: int) -> None:
        request = self.request(*parts)
        self.causes.record_crash(request, f'crash-{request.request}', now)

    def complete(self, now: float, *parts: int) -> None:
        self.causes.record_completion(self.request(*parts), now)

    def rejects(self, now: float, *parts: int) -> bool:
        return self.causes.rejects(self.request(*parts), now)


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def test_part_is_rejected_after_three_crashes_of_different_requests(fleet):
    fleet.complete(0, FIRST)
    for now, other in enumerate((10, 11, 12)):
        assert not fleet.rejects(now, FIRST, HARMFUL)
        fleet.crash(now, FIRST, other, HARMFUL)

    assert fleet.rejects(3, FIRST, HARMFUL)
    assert not fleet.rejects(3, FIRST, OTHER)


def test_requests_that_share_all_other_parts_are_served(fleet):
    for now in range(3):
        fleet.crash(now, FIRST, OTHER, HARMFUL)

    assert fleet.rejects(3, FIRST, OTHER, HARMFUL)
    assert not fleet.rejects(3, FIRST, OTHER)
    assert not fleet.rejects(3, FIRST, HARMFUL)

    fleet.complete(4, FIRST, OTHER)

    assert fleet.rejects(5, FIRST, HARMFUL)


def test_completed_request_clears_its_parts_for_all_hosts(fleet):
    for now in range(3):
        fleet.crash(now, FIRST)
    assert fleet.rejects(3, FIRST)

    peer = Fleet()
    peer.register.apply(fleet.register.notices(3), 3)
    assert peer.rejects(3, FIRST)
    cleared = fleet.causes.record_completion(fleet.request(FIRST), 4)
    peer.register.apply(cleared, 4)

    assert not fleet.rejects(5, FIRST)
    assert not peer.rejects(5, FIRST)


def test_targets_that_end_at_once_blame_no_sound_part(fleet):
    """A zone's reclaimable targets end together, under one popular part."""
    fleet.complete(0, FIRST)

    for number in range(20):
        fleet.crash(1 + number / 100, FIRST)

    assert not fleet.rejects(2, FIRST)


def test_part_that_becomes_harmful_is_rejected(fleet):
    fleet.complete(0, HARMFUL)

    for now in (1, 2, 3):
        assert not fleet.rejects(now, HARMFUL)
        fleet.crash(now, HARMFUL)

    assert fleet.rejects(4, HARMFUL)


def test_sound_part_beside_a_harmful_one_is_not_blamed(fleet):
    fleet.complete(0, FIRST)

    for now in range(1, 9):
        fleet.crash(now, FIRST, HARMFUL)

    assert fleet.rejects(9, FIRST, HARMFUL)
    assert not fleet.rejects(9, FIRST)


def test_repeated_request_does_not_blame_its_parts(fleet):
    request = fleet.request(OTHER)
    for now in range(5):
        fleet.causes.record_crash(request, f'crash-{now}', now)

    assert fleet.causes.rejects(request, 5)
    assert not fleet.rejects(5, OTHER)


def test_two_harmful_parts_are_both_rejected(fleet):
    for now in range(3):
        fleet.crash(now, 20)
        fleet.crash(now, 30)

    assert fleet.rejects(3, 20)
    assert fleet.rejects(3, 30)


def test_crashes_that_two_parts_explain_equally_wait_for_the_next(fleet):
    fleet.crash(0, 20)
    fleet.crash(1, 20, 30)
    fleet.crash(2, 20, 30)
    fleet.crash(3, 30)
    assert not fleet.rejects(4, 20)

    fleet.crash(4, 30)

    assert fleet.rejects(5, 30)
    assert not fleet.rejects(5, 20)


def test_evidence_expires(fleet):
    for now in range(3):
        fleet.crash(now, HARMFUL)

    assert fleet.rejects(99, HARMFUL)
    assert not fleet.rejects(100, HARMFUL)


def test_sound_request_beside_two_harmful_ones_is_served(fleet):
    """It ran on two targets as they crashed under others."""
    sound = fleet.request(FIRST)
    for now in range(3):
        crash_id = f'crash-{now}'
        harmful = fleet.request(HARMFUL)
        fleet.causes.record_crash(harmful, crash_id, now)
        if now:
            fleet.causes.record_crash(sound, crash_id, now)

    assert fleet.rejects(3, HARMFUL)
    assert not fleet.causes.rejects(sound, 3)


def test_sound_request_is_no_suspect_once_the_cause_is_known(fleet):
    sound = fleet.request(FIRST)
    for now in range(3):
        harmful = fleet.request(HARMFUL)
        fleet.causes.record_crash(harmful, f'crash-{now}', now)
    fleet.causes.record_crash(sound, 'crash-2', 2)

    assert fleet.causes.verdict(sound, 3) is Verdict.RUN


def test_request_that_crashes_targets_of_its_own_is_rejected_all_the_same(
    fleet,
):
    own = fleet.request(FIRST)
    for now in range(3):
        crash_id = f'crash-{now}'
        fleet.causes.record_crash(fleet.request(HARMFUL), crash_id, now)
        fleet.causes.record_crash(own, crash_id, now)
    fleet.causes.record_crash(fleet.request(HARMFUL), 'crash-3', 3)
    for now in (4, 5):
        fleet.causes.record_crash(own, f'own-{now}', now)

    assert fleet.causes.rejects(own, 6)
