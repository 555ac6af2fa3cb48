"""Time-limited authority, which a process needs before it acts."""

import dataclasses
from typing import Protocol, TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The authority is held until an instant on the holder's clock.

    ``epoch`` grows each time the authority is acquired.
    """

    epoch: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The authority is not held, or ends before the requested instant."""

    reason: str


AuthorityState: TypeAlias = Held | Lost


class Authority(Protocol):
    """An exclusive, time-limited permission to act, such as a lease."""

    @property
    def host(self) -> str:
        """The host that the holder runs on."""
        ...

    @property
    def session(self) -> str:
        """The identity of the holder's session."""
        ...

    @property
    def epoch(self) -> int:
        """The epoch in which the authority was acquired."""
        ...

    def check(self, deadline_needed: float) -> AuthorityState:
        """Return whether the authority lasts until the deadline.

        The check does no I/O. Its result is valid only until the caller
        awaits: check, then send, with no await between.
        """
        ...
