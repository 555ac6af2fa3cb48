"""What a process needs before it may act: authority up to an instant."""

import dataclasses
from typing import Protocol, TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The authority is held until an instant of the holder's clock.

    ``epoch`` grows each time the authority is taken.
    """

    epoch: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The authority is not held, or not for as long as was asked for."""

    reason: str


AuthorityState: TypeAlias = Held | Lost


class Authority(Protocol):
    """A lease, or whatever else lets a process act alone for a time."""

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
        """The epoch that the authority was taken in."""
        ...

    def check(self, deadline_needed: float) -> AuthorityState:
        """Say whether the authority lasts until the deadline.

        The answer costs no input or output. It stays true as long as the
        caller does not await: check, then send, with no await between.
        """
        ...
