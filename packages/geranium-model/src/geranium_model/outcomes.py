"""Outcomes of a request; each request has exactly one."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The whole response was delivered to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No target ran any part of the request.

    ``retry_after_s`` is the delay before a retry can succeed; ``None`` if a
    retry cannot help.
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
    """A target may have run the request; its response was lost.

    ``retry_after_s`` is the delay before a retry can succeed; ``None`` if a
    retry cannot help.
    """

    title: str
    detail: str = ''
    status: int = 504
    retry_after_s: float | None = None


Outcome: TypeAlias = Completed | NotRun | RanAndFailed | OutcomeUnknown
