"""A plan depends on its seed alone, and covers all types of faults."""

import itertools

from geranium_soak import draw_plan


def test_same_seed_gives_same_plan() -> None:
    assert draw_plan(7, 60, 4) == draw_plan(7, 60, 4)


def test_other_seed_gives_other_plan() -> None:
    assert draw_plan(7, 60, 4) != draw_plan(8, 60, 4)


def test_faults_are_ordered_and_overlap() -> None:
    steps = draw_plan(7, 60, 4)
    instants = [step.at_s for step in steps]

    assert instants == sorted(instants)
    overlapping = [
        step
        for step, following in itertools.pairwise(steps)
        if following.at_s - step.at_s < getattr(step.fault, 'for_s', 0)
    ]
    assert overlapping


def test_every_kind_of_fault_is_drawn() -> None:
    kinds = {
        type(step.fault).__name__
        for seed in range(20)
        for step in draw_plan(seed, 60, 4)
    }

    assert len(kinds) == 21
