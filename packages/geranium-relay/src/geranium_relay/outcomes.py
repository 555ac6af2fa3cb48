"""Outcomes of requests; each request has exactly one."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The target's complete response was forwarded."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallsMade:
    """The calls to targets that were made for a request.

    Args:
        sends: How often it was sent to be run.
        runs: How often it may have run.
        first_recorded: Whether its first send counts in the retry budget.
        prefilled: Whether an engine has accepted a prefill call for it.
        counted: Whether it was counted for usage.
    """

    sends: int = 0
    runs: int = 0
    first_recorded: bool = False
    prefilled: bool = False
    counted: bool = False


_NO_CALLS = CallsMade()


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run; the caller may retry after a delay.

    ``elsewhere`` says that another host may be able to serve it now, ``hosts``
    which ones, if that is known. ``calls`` is what was sent for it in vain.
    """

    reason: str
    retry_after_s: float
    elsewhere: bool = False
    hosts: frozenset[str] = frozenset()
    calls: CallsMade = dataclasses.field(default=_NO_CALLS, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """The request did not run: its team is over its quota.

    The caller may retry after a delay.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedSize:
    """The request names its tokens, which its team's quota counts, wrongly."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownRoute:
    """No route matches the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request needs a key that is in the catalogue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run; there is no complete response.

    ``calls`` is what was sent for it.
    """

    reason: str
    calls: CallsMade = dataclasses.field(default=_NO_CALLS, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The deadline passed after the request had been sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutOff:
    """The response had started and can't be completed.

    ``calls`` is what was sent for it.
    """

    reason: str
    calls: CallsMade = dataclasses.field(default=_NO_CALLS, compare=False)


Outcome: TypeAlias = (
    Delivered
    | Refused
    | OverQuota
    | MalformedSize
    | UnknownRoute
    | UnknownKey
    | Failed
    | TimedOut
    | CutOff
)


def with_calls(outcome: Outcome, calls: CallsMade) -> Outcome:
    """Return the outcome of a request with what was sent for it."""
    match outcome:
        case Refused() | Failed() | CutOff():
            return dataclasses.replace(outcome, calls=calls)
        case _:
            return outcome
