"""Requests to change the configuration and their outcomes."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from geranium_model import ConfigurationDocument


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is durable as version ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another change was accepted first; this one was not made.

    ``version`` is the newest version; the other fields describe the other
    change.
    """

    version: int
    author: str
    operation_id: str
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRejected:
    """The changed document is invalid; the change was not made."""

    complaints: tuple[str, ...]


ChangeOutcome: TypeAlias = ChangeAccepted | ChangeConflict | ChangeRejected
Mutation: TypeAlias = Callable[[ConfigurationDocument], ConfigurationDocument]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator requests.

    With ``expected_version`` the change applies to that version only;
    without it the mutation applies to the newest version.
    """

    mutation: Mutation
    operation_id: str
    author: str
    description: str = ''
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWithdrawal:
    """Keys withdrawn by a change that may be accepted at any moment.

    ``key_digests`` are the SHA-256 of the keys, ``base_version`` is the
    version that the change applies to.
    """

    operation_id: str
    base_version: int
    key_digests: tuple[str, ...]


Announcer: TypeAlias = Callable[[PendingWithdrawal], Awaitable[None]]
