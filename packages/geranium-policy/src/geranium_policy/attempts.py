"""Attempts: how sending a request to a target can fail."""

import dataclasses
import http
from typing import TypeAlias

from geranium_model import NotRun, Outcome, OutcomeUnknown, RanAndFailed

DEFAULT_RETRY_AFTER_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The target said that nothing of the request ran."""

    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The connection broke or went silent after bytes were sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered5xx:
    """The target answered that it ran the request and failed."""

    status: int = 502


AttemptFailure: TypeAlias = NotSent | Refused | Lost | Answered5xx


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that failed.

    Args:
        failure: How it failed.
        idempotent: Whether the request may run twice.
        attempts: Attempts made so far, this one included.
        deadline: Instant until which the caller waits.
    """

    failure: AttemptFailure
    idempotent: bool
    attempts: int
    deadline: float


def may_repeat(attempt: FailedAttempt) -> bool:
    """Tell whether another attempt is safe, whatever the bounds say.

    A request that can't have run may be sent again; one that may have run
    only if it is idempotent. A target's own answer is final.
    """
    match attempt.failure:
        case NotSent() | Refused():
            return True
        case Lost():
            return attempt.idempotent
        case Answered5xx():
            return False


def outcome_of(failure: AttemptFailure) -> Outcome:
    """Return how a request ends whose last attempt failed so."""
    match failure:
        case NotSent():
            return NotRun(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no target could be reached',
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        case Refused():
            return NotRun(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the target refused',
                retry_after_s=failure.retry_after_s or DEFAULT_RETRY_AFTER_S,
            )
        case Lost():
            return OutcomeUnknown('the answer was lost')
        case Answered5xx():
            return RanAndFailed('the target failed', status=failure.status)
