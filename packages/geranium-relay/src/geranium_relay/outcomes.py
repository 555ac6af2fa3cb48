"""The outcomes of a request; each request has exactly one."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The target's whole answer was passed on."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing of the request ran; the caller may come back after a while."""

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownRoute:
    """No route matches the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request needs a key that stands in the catalogue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run; there is no whole answer."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The deadline passed after the request had been sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutOff:
    """The answer had begun and can't be completed."""

    reason: str


Outcome: TypeAlias = (
    Delivered | Refused | UnknownRoute | UnknownKey | Failed | TimedOut | CutOff
)
