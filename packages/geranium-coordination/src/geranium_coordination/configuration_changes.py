"""Changes of the configuration: what is asked for and how it ends."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from geranium_model import ConfigurationDocument


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is version ``version`` and will stay."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another change came first; this one was not made.

    The fields name the other's change; ``version`` is the newest one.
    """

    version: int
    author: str
    operation_id: str
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRejected:
    """The changed document would be faulty; it was not made."""

    complaints: tuple[str, ...]


ChangeOutcome: TypeAlias = ChangeAccepted | ChangeConflict | ChangeRejected
Mutation: TypeAlias = Callable[[ConfigurationDocument], ConfigurationDocument]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as an operator asks for it.

    With ``expected_version`` the change is made upon that version only;
    without it the mutation is applied to whatever is newest.
    """

    mutation: Mutation
    operation_id: str
    author: str
    description: str = ''
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWithdrawal:
    """Keys that a change which may be accepted any moment withdraws.

    ``key_digests`` are the SHA-256 of the keys, ``base_version`` is the
    version that the change is made upon.
    """

    operation_id: str
    base_version: int
    key_digests: tuple[str, ...]


Announcer: TypeAlias = Callable[[PendingWithdrawal], Awaitable[None]]
