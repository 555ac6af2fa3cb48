"""How a request ends: exactly one of these outcomes."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was handed to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No target ran any of the request.

    ``retry_after_s`` says when coming back helps, ``None`` that it doesn't.
    """

    status: int
    title: str
    detail: str = ''
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RanAndFailed:
    """A target ran the request and failed."""

    title: str
    detail: str = ''
    status: int = 502


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A target may have run the request; its answer was lost.

    ``retry_after_s`` says when asking again helps, ``None`` that it doesn't.
    """

    title: str
    detail: str = ''
    status: int = 504
    retry_after_s: float | None = None


Outcome: TypeAlias = Completed | NotRun | RanAndFailed | OutcomeUnknown
