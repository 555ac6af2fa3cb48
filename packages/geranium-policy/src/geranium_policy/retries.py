"""Retry policy: whether and when a failed attempt is retried."""

import dataclasses
import random
from typing import TypeAlias

from geranium_model import Outcome

from .attempts import FailedAttempt, Refused, may_repeat, outcome_of


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits on retries.

    Args:
        max_attempts: Maximum attempts of one request, including the first.
        base_backoff_s: Upper bound of the random backoff after the first
            failure. Each further failure doubles it.
        max_backoff_s: Upper bound of any backoff.
        min_attempt_s: Minimum time left before the deadline for a retry.
        budget_ratio: Retries granted for each first attempt.
        budget_floor_per_s: Retries granted per second regardless of traffic,
            so that a daemon with little traffic can retry.
        max_budget: Maximum number of retries that can accumulate.
    """

    max_attempts: int = 4
    base_backoff_s: float = 0.025
    max_backoff_s: float = 1
    min_attempt_s: float = 0.05
    budget_ratio: float = 0.1
    budget_floor_per_s: float = 0.5
    max_budget: float = 20


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAt:
    """Make another attempt at this instant."""

    instant: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Send this outcome to the caller without a retry."""

    outcome: Outcome


RetryDecision: TypeAlias = RetryAt | GiveUp


class RetryBudget:
    """A token bucket that is filled by first attempts.

    It limits retries to a share of all traffic, so that they can't sustain
    an overload.
    """

    def __init__(self, settings: RetrySettings, now: float) -> None:
        self._settings = settings
        self._tokens = settings.max_budget
        self._filled_at = now

    def record_request(self, now: float) -> None:
        """Add the tokens granted for a first attempt."""
        self._fill(self._settings.budget_ratio, now)

    def take(self, now: float) -> bool:
        """Take a token for one retry and return whether there was one."""
        self._fill(0, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, tokens: float, now: float) -> None:
        passed_s = max(now - self._filled_at, 0)
        tokens += passed_s * self._settings.budget_floor_per_s
        self._tokens = min(self._tokens + tokens, self._settings.max_budget)
        self._filled_at = now


class RetryPolicy:
    """Decides whether a failed attempt is retried."""

    def __init__(
        self,
        settings: RetrySettings,
        budget: RetryBudget,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._budget = budget
        self._source = source

    def decide(self, attempt: FailedAttempt, now: float) -> RetryDecision:
        """Return the instant of the next attempt, or the final outcome."""
        if not may_repeat(attempt):
            return GiveUp(outcome_of(attempt.failure))
        if attempt.attempts >= self._settings.max_attempts:
            return GiveUp(outcome_of(attempt.failure))
        instant = now + self._backoff_s(attempt)
        if instant + self._settings.min_attempt_s > attempt.deadline:
            return GiveUp(outcome_of(attempt.failure))
        if not self._budget.take(now):
            return GiveUp(outcome_of(attempt.failure))
        return RetryAt(instant)

    def _backoff_s(self, attempt: FailedAttempt) -> float:
        settings = self._settings
        bound_s = min(
            settings.base_backoff_s * 2 ** (attempt.attempts - 1),
            settings.max_backoff_s,
        )
        backoff_s = self._source.uniform(0, bound_s)
        match attempt.failure:
            case Refused(retry_after_s=retry_after_s):
                return max(backoff_s, retry_after_s or 0)
            case _:
                return backoff_s
