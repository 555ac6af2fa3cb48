"""Failures of an attempt to send a request to a target."""

import dataclasses
import http
from typing import TypeAlias

from geranium_model import NotRun, Outcome, OutcomeUnknown, RanAndFailed

DEFAULT_RETRY_AFTER_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The connection failed before any byte of the request was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The target rejected the request without running any of it."""

    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The connection failed or timed out after bytes were sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerError:
    """The target responded that it ran the request and failed."""

    status: int = 502


AttemptFailure: TypeAlias = NotSent | Refused | Lost | ServerError


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt and the state that a retry decision depends on.

    Args:
        failure: How the attempt failed.
        idempotent: Whether the request may run twice.
        attempts: Attempts made so far, including this one.
        deadline: Instant until which the caller waits.
    """

    failure: AttemptFailure
    idempotent: bool
    attempts: int
    deadline: float


def may_repeat(attempt: FailedAttempt) -> bool:
    """Return whether another attempt is safe, regardless of the retry limits.

    A request that can't have run may be sent again. A request that may have
    run is sent again only if it is idempotent. A response from the target is
    final.
    """
    match attempt.failure:
        case NotSent() | Refused():
            return True
        case Lost():
            return attempt.idempotent
        case ServerError():
            return False


def outcome_of(failure: AttemptFailure) -> Outcome:
    """Return the outcome of a request whose last attempt failed."""
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
        case ServerError():
            return RanAndFailed('the target failed', status=failure.status)
