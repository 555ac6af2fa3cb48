"""The types of faults in a plan."""

import dataclasses
import enum
from typing import TypeAlias

from .service_faults import ServiceFault
from .target_links import CutHosts


class LinkFault(enum.Enum):
    """A fault of a connection; the values are the loopback relay's modes."""

    RESET = 'drop'
    SILENCED = 'silent'
    HELD = 'hold'
    ANSWERS_HELD = 'hold_answers'


class StoreFault(enum.Enum):
    """A fault of the store."""

    BUSY = 'busy'
    LIMITED = 'limited'
    SLOW = 'slow'
    ANSWERS_LOST = 'answers lost'
    HISTORY_GONE = 'history gone'
    ENTRIES_LAPSED = 'entries lapsed'


class TargetFault(enum.Enum):
    """A fault of a target."""

    ANSWERS_LOST = 'answers lost'
    ERRORS = 'errors'
    BROKEN_OFF = 'broken off'
    REFUSES = 'refuses'
    MUTE = 'mute'
    EXTRA_BYTES = 'extra bytes'


@dataclasses.dataclass(frozen=True, slots=True)
class KillHosts:
    """Kill ``count`` processes at once; each restarts."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseHost:
    """Suspend a process and resume it."""

    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopHost:
    """Terminate a process gracefully; it restarts after its exit."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadHost:
    """Change a process's settings file, with or without a SIGHUP."""

    signalled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CutStoreLink:
    """Disrupt the link between one host and the store."""

    fault: LinkFault
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutTargetLink:
    """Disrupt the link between all hosts and one target."""

    fault: LinkFault
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DelayTargetLink:
    """Delay the bytes between all hosts and one target."""

    delay_ms: int
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HarmStore:
    """Make the store fail for all hosts."""

    fault: StoreFault
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreStore:
    """Bring the store back from a copy that is ``lost_s`` old.

    Operators and targets write their objects again after ``gap_s``.
    """

    lost_s: float
    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceDeparture:
    """Let a target announce its stop in its responses before it leaves.

    Its entry says for ``listed_s`` that it is ready.
    """

    listed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AskForPause:
    """Let a target reject a share of its requests and ask for a pause."""

    pause_s: float
    share: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HarmTarget:
    """Make a target fail for a share of its requests."""

    fault: TargetFault
    share: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashTarget:
    """Stop a target at once and start another at its address.

    With ``reused`` the new target may belong to another service.
    """

    down_s: float
    reused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceTarget:
    """Start another target, then mark the old one as leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCatalogue:
    """Write ``count`` new versions of the catalogue, ``gap_s`` apart."""

    count: int
    gap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Replace a team's key."""


@dataclasses.dataclass(frozen=True, slots=True)
class NameLimit:
    """Let a target name a limit for the requests of all hosts together."""

    per_s: float
    for_s: float


RareFault: TypeAlias = (
    RestoreStore
    | AnnounceDeparture
    | AskForPause
    | NameLimit
    | CutHosts
    | ServiceFault
)
Fault: TypeAlias = (
    KillHosts
    | PauseHost
    | StopHost
    | ReloadHost
    | CutStoreLink
    | CutTargetLink
    | DelayTargetLink
    | HarmStore
    | RareFault
    | HarmTarget
    | CrashTarget
    | ReplaceTarget
    | ChangeCatalogue
    | WithdrawKey
)
