"""The faults that a plan may hold."""

import dataclasses
import enum
from typing import TypeAlias


class LinkFault(enum.Enum):
    """What happens to a link; the values are the loopback relay's modes."""

    RESET = 'drop'
    SILENCED = 'silent'
    HELD = 'hold'
    ANSWERS_HELD = 'hold_answers'


class StoreFault(enum.Enum):
    """How the store misbehaves."""

    BUSY = 'busy'
    LIMITED = 'limited'
    SLOW = 'slow'
    ANSWERS_LOST = 'answers lost'
    HISTORY_GONE = 'history gone'
    ENTRIES_LAPSED = 'entries lapsed'


class TargetFault(enum.Enum):
    """How a target misbehaves."""

    ANSWERS_LOST = 'answers lost'
    ERRORS = 'errors'
    BROKEN_OFF = 'broken off'
    REFUSES = 'refuses'
    MUTE = 'mute'
    EXTRA_BYTES = 'extra bytes'


@dataclasses.dataclass(frozen=True, slots=True)
class KillHosts:
    """Kill so many processes at once; each starts again."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseHost:
    """Stop a process where it stands and let it go on."""

    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopHost:
    """Ask a process to stop; it starts again once it has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadHost:
    """Change a process's settings file, with or without a signal."""

    signalled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CutStoreLink:
    """Harm the link between one host and the store."""

    fault: LinkFault
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutTargetLink:
    """Harm the link between all hosts and one target."""

    fault: LinkFault
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DelayTargetLink:
    """Delay the bytes between all hosts and one target."""

    delay_ms: int
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HarmStore:
    """Let the store misbehave towards all hosts."""

    fault: StoreFault
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HarmTarget:
    """Let a target misbehave for a share of its requests."""

    fault: TargetFault
    share: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashTarget:
    """End a target at once; another takes over its address.

    ``reused`` lets the other belong to another service.
    """

    down_s: float
    reused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceTarget:
    """Announce that a target leaves and start another beside it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCatalogue:
    """Write so many new versions in quick succession."""

    count: int
    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Take a team's key away and give it another."""


Fault: TypeAlias = (
    KillHosts
    | PauseHost
    | StopHost
    | ReloadHost
    | CutStoreLink
    | CutTargetLink
    | DelayTargetLink
    | HarmStore
    | HarmTarget
    | CrashTarget
    | ReplaceTarget
    | ChangeCatalogue
    | WithdrawKey
)
