"""Hosts that choose at the same time choose different targets."""

import collections
import random

from geranium_policy.near_choices import (
    NearChoice,
    UniformChoice,
    WeightedChoice,
    choose_near,
)

COSTS = ((0.1, 'cheapest'), (0.15, 'near'), (0.19, 'far'))


def counts(choice: NearChoice, age_s: float) -> collections.Counter[str]:
    source = random.Random(3)
    return collections.Counter(
        choose_near(choice, COSTS, 0.03, age_s, source) for _ in range(2000)
    )


def test_hosts_with_old_information_do_not_all_choose_the_cheapest() -> None:
    """A report of one idle engine would draw the requests of 89 hosts."""
    found = counts(WeightedChoice(0.2), 0.5)

    ordered = [name for name, _ in found.most_common()]
    assert ordered == ['cheapest', 'near', 'far']
    assert found['far'] > 100


def test_fresh_information_decides_alone() -> None:
    """A wide choice would waste cached prefixes on a small fleet."""
    assert set(counts(WeightedChoice(0.2), 0)) == {'cheapest'}


def test_uniform_choice_ignores_the_age() -> None:
    assert set(counts(UniformChoice(), 0.5)) == {'cheapest'}
