"""A broken connection is a crash only by what is known of the target."""

import pytest
from geranium_policy.crash_evidence import CrashEvidence, TargetReach

REACHED = TargetReach.REACHED
UNREACHED = TargetReach.UNREACHED
UNKNOWN = TargetReach.UNKNOWN


def make_evidence(
    own: TargetReach, *peers: TargetReach, listed: bool = True
) -> CrashEvidence:
    return CrashEvidence(listed, own, peers, has_peers=True)


@pytest.mark.parametrize(
    'evidence',
    [
        make_evidence(UNREACHED, REACHED),
        make_evidence(UNKNOWN, UNKNOWN, REACHED),
        make_evidence(UNKNOWN, UNREACHED, REACHED),
        make_evidence(UNKNOWN, UNKNOWN),
        make_evidence(UNKNOWN),
    ],
)
def test_host_that_lost_its_links_shows_no_crash(
    evidence: CrashEvidence,
) -> None:
    assert not evidence.is_crash


@pytest.mark.parametrize(
    'evidence',
    [
        make_evidence(UNREACHED),
        make_evidence(UNREACHED, UNKNOWN),
        make_evidence(UNKNOWN, UNREACHED),
        make_evidence(UNKNOWN, listed=False),
    ],
)
def test_target_that_others_do_not_reach_has_crashed(
    evidence: CrashEvidence,
) -> None:
    assert evidence.is_crash


def test_host_that_is_alone_takes_what_it_sees_for_a_crash() -> None:
    assert CrashEvidence(
        is_listed=True, own=UNKNOWN, peers=(), has_peers=False
    ).is_crash
