"""Outcomes of claiming a call."""

import dataclasses
from typing import TypeAlias

from .calls import CallOutcome, ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """This attempt has the exclusive right to send the call."""

    ticket: ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyCompleted:
    """The call was executed before, with this outcome."""

    outcome: CallOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt at the call is running on ``holder``."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have been executed; it is not sent again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used before for another call; nothing was executed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No claim could be made, so this attempt was not executed.

    ``retry_after_s`` is the time after which a retry may succeed. With
    ``lingers`` the claim may still be in the store, or reach it, until it
    is revoked.
    """

    detail: str
    retry_after_s: float
    lingers: bool = False


ClaimAnswer: TypeAlias = (
    Claimed | AlreadyCompleted | InProgress | Unknown | Mismatch
)
ClaimOutcome: TypeAlias = ClaimAnswer | ClaimUnavailable
