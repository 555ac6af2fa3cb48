"""Runs that broke for an unknown reason, until the list of targets tells it."""

import pytest
from geranium_policy.crash_causes import (
    CrashCauses,
    CrashCauseSettings,
    RequestFingerprints,
)
from geranium_policy.suspects import SuspectRegister, SuspectSettings

HARMFUL = RequestFingerprints(1, (11, 12))
OTHER = RequestFingerprints(2, (12,))
BROKEN_AT = 100
LATER = 104  # the list of targets shows their ends
TOO_LATE = 110


@pytest.fixture
def register() -> SuspectRegister:
    return SuspectRegister(SuspectSettings())


@pytest.fixture
def causes(register: SuspectRegister) -> CrashCauses:
    """Return what is known after two runs of a request have broken."""
    made = CrashCauses(CrashCauseSettings(), register)
    for crash_id in ('t1@1', 't2@1'):
        made.unproven.add(HARMFUL.request, HARMFUL.parts, crash_id, BROKEN_AT)
    return made


def prove_both(causes: CrashCauses, now: float) -> None:
    for crash_id in ('t1@1', 't2@1'):
        causes.unproven.prove(crash_id, now)


def test_request_is_rejected_once_its_targets_are_known_to_be_down(
    causes: CrashCauses, register: SuspectRegister
) -> None:
    assert not causes.rejects(HARMFUL, BROKEN_AT)

    prove_both(causes, LATER)

    assert causes.rejects(HARMFUL, LATER)
    crashes = tuple(register.active_crashes(LATER))
    assert {crash.crashed_at for crash in crashes} == {BROKEN_AT}


def test_end_of_a_target_long_after_the_run_is_no_crash(
    causes: CrashCauses,
) -> None:
    prove_both(causes, TOO_LATE)

    assert not causes.rejects(HARMFUL, TOO_LATE)


def test_request_that_was_completed_since_is_no_suspect(
    causes: CrashCauses,
) -> None:
    causes.record_completion(HARMFUL, LATER)
    prove_both(causes, LATER)

    assert not causes.rejects(HARMFUL, LATER)


def test_completed_request_clears_the_parts_that_it_shares(
    causes: CrashCauses, register: SuspectRegister
) -> None:
    causes.record_completion(OTHER, LATER)
    prove_both(causes, LATER)

    crashes = register.active_crashes(LATER)
    assert {crash.fingerprint for crash in crashes} == {1, 11}


def test_run_whose_target_was_up_is_no_crash(causes: CrashCauses) -> None:
    causes.unproven.drop(HARMFUL.request, 't1@1')
    prove_both(causes, LATER)

    assert not causes.rejects(HARMFUL, LATER)


def test_crash_that_one_request_shows_counts_for_the_others(
    causes: CrashCauses, register: SuspectRegister
) -> None:
    causes.record_crash(OTHER, 't1@1', LATER)

    crashes = register.active_crashes(LATER)
    assert HARMFUL.request in {crash.fingerprint for crash in crashes}
