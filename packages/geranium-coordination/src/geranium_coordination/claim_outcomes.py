"""How asking for the claim of a call ends."""

import dataclasses
from typing import TypeAlias

from .calls import CallOutcome, ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The call is this attempt's to send, and nobody else's."""

    ticket: ClaimTicket


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyCompleted:
    """The call ran before and ended so."""

    outcome: CallOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt at the call is running on the holder."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run; it won't be sent again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used before for another call: nothing was run now."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No claim could be made, so this attempt was not run.

    ``retry_after_s`` says when coming back may help. ``lingers`` tells that
    the claim may yet be found in the store until it is revoked.
    """

    detail: str
    retry_after_s: float
    lingers: bool = False


ClaimAnswer: TypeAlias = (
    Claimed | AlreadyCompleted | InProgress | Unknown | Mismatch
)
ClaimOutcome: TypeAlias = ClaimAnswer | ClaimUnavailable
