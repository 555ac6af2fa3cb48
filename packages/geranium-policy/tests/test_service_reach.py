"""When a host counts a service as cut, and as reached again."""

import random

import pytest
from geranium_policy.service_reach import (
    ReachCheck,
    ReachSettings,
    draw_sample,
    is_cut_after,
    needed_to_reach,
)

SETTINGS = ReachSettings()


def test_one_silent_target_does_not_cut_its_service() -> None:
    """A target is silent for a second, the others accept connections."""
    assert not is_cut_after(ReachCheck(3, 2), is_cut=False)
    assert not is_cut_after(ReachCheck(8, 1), is_cut=False)


def test_service_of_which_no_target_is_reached_is_cut() -> None:
    assert is_cut_after(ReachCheck(1, 0), is_cut=False)
    assert is_cut_after(ReachCheck(8, 0), is_cut=False)


def test_host_that_reaches_one_target_of_many_does_not_change_its_mind() -> (
    None
):
    assert is_cut_after(ReachCheck(4, 1), is_cut=True)
    assert not is_cut_after(ReachCheck(4, 2), is_cut=True)


@pytest.mark.parametrize('is_cut', [True, False])
def test_check_without_targets_says_nothing(is_cut: bool) -> None:
    assert is_cut_after(ReachCheck(0, 0), is_cut=is_cut) is is_cut


def test_service_with_one_target_is_reached_with_it() -> None:
    assert needed_to_reach(1, is_cut=True) == 1
    assert not is_cut_after(ReachCheck(1, 1), is_cut=True)


def test_crash_of_two_thirds_of_the_targets_does_not_cut_the_service() -> None:
    """Hosts that took it for a cut would pass requests to each other."""
    targets = [number < 8 for number in range(12)]  # the first ones are down
    source = random.Random(1)
    cuts = sum(
        all(draw_sample(targets, SETTINGS, source, is_cut=False))
        for _ in range(1000)
    )

    assert cuts <= 10
