"""Rates of engines that all hosts learn together."""

import bisect
import collections
import itertools
import random

import pytest
from geranium_policy.learned_rates import (
    LearnedRates,
    LearnedRateSettings,
    MeasuredPrefill,
)

HOSTS = 84
ENGINES = tuple(map(str, range(92)))  # of speeds 0.6, 1.0, 1.6 in turn
RIGHT_SHARE = 0.6
SETTINGS = LearnedRateSettings()


class Day:
    """Hosts whose observations all hosts know after half a second."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.rates = LearnedRates(SETTINGS)
        speeds = itertools.cycle((54_000, 90_000, 144_000))
        self.speeds = dict(zip(ENGINES, speeds, strict=False))
        self.free_at = dict.fromkeys(ENGINES, 0)
        self.served: collections.Counter[str] = collections.Counter()
        self.now: float = 0
        self.pending: list[tuple[float, str, float, float]] = []

    def right_share(self, duration_s: float) -> float:
        """Return the share of prompts whose expected time was right."""
        ratios = []
        until = self.now + duration_s
        while self.now < until:
            self.now += self.random.expovariate(HOSTS)
            while self.pending and self.pending[0][0] <= self.now:
                at, *observation = self.pending.pop(0)
                self.rates.observe('s', *observation, at)
            ratios.append(self._serve())
        right = [abs(ratio - 1) <= 1 / 4 for ratio in ratios]
        return sum(right) / len(right)

    def served_by(self, first: int) -> int:
        """Return the prompts of the engines of one speed."""
        return sum(self.served[engine] for engine in ENGINES[first::3])

    def _serve(self) -> float:
        rate = self.rates.rate('s') or 50_000
        tokens = self.random.choice((1460, 9190, 17_020))
        expected_s, engine, queued_tokens = min(
            self._option(engine, tokens, rate)
            for engine in self.random.sample(ENGINES, 6)
        )
        taken_s = max(self.free_at[engine] - self.now, 0)
        noise = self.random.uniform(0.85, 1.15)
        taken_s += tokens / self.speeds[engine] * noise
        self.free_at[engine] = self.now + taken_s
        self.served[engine] += 1
        measured = MeasuredPrefill(tokens, queued_tokens, taken_s)
        weight = measured.weight(SETTINGS, rate)
        known_at = self.now + taken_s + 0.5
        observation = (known_at, engine, measured.tokens_per_s, weight)
        bisect.insort(self.pending, observation)
        return taken_s / expected_s

    def _option(
        self, engine: str, tokens: int, rate: float
    ) -> tuple[float, str, float]:
        factors = self.rates.factors('s', self.now)
        speed = rate / factors.get(engine, 1)
        queued_s = max(self.free_at[engine] - self.now, 0)
        expected_s = queued_s + tokens / speed
        return expected_s, engine, queued_s * speed


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_fast_engines_get_more_and_times_are_right(seed: int) -> None:
    """By a constant rate all engines get the same and 0.3 of times are right."""
    day = Day(seed)
    day.right_share(15)
    day.served.clear()

    assert day.right_share(30) > RIGHT_SHARE
    assert day.served_by(2) > 2 * day.served_by(0)


def test_engine_that_is_slow_for_a_while_is_used_again() -> None:
    day = Day(4)
    day.right_share(15)
    day.speeds['2'] /= 2.5
    day.right_share(15)
    slow = day.rates.factors('s', day.now)['2']
    day.speeds['2'] *= 2.5
    day.served.clear()
    day.right_share(60)

    assert slow > 1
    assert day.rates.factors('s', day.now)['2'] < 1
    assert day.served['2'] > 30


def test_few_observations_change_little() -> None:
    """One odd measurement must not close an engine or set the rate."""
    rates = LearnedRates(SETTINGS)
    rates.observe('s', 'e', tokens_per_s=100, weight=1, now=0)
    assert rates.rate('s') is None
    assert not rates.factors('s', now=-1)

    for _ in range(200):
        rates.observe('s', 'f', tokens_per_s=50_000, weight=1, now=0)

    assert rates.factors('s', 0)['e'] < SETTINGS.max_ratio / 2
    faded = rates.factors('s', 60)['e']
    assert faded == pytest.approx(1, abs=0.05)


def test_short_and_queued_prefills_say_little() -> None:
    short = MeasuredPrefill(1000, 0, 1)
    queued = MeasuredPrefill(10_000, 90_000, 1)

    assert short.weight(SETTINGS, 50_000) < SETTINGS.min_weight
    assert queued.weight(SETTINGS, 50_000) == pytest.approx(0.1)


def test_restarted_host_learns_within_seconds() -> None:
    day = Day(5)
    day.right_share(15)
    day.rates = LearnedRates(SETTINGS)
    day.right_share(5)

    assert day.right_share(10) > RIGHT_SHARE
