"""What hosts send each other when one passes a request on."""

import dataclasses
from typing import TypeAlias

from geranium_policy.crash_evidence import TargetReach

from ..messages import IncomingRequest, ResponseHead
from ..outcomes import CutOff, Delivered, Failed, Refused, TimedOut

ForwardedOutcome: TypeAlias = Delivered | Refused | Failed | TimedOut | CutOff


@dataclasses.dataclass(frozen=True, slots=True)
class RunProgress:
    """What was done for a request before it was passed on.

    Args:
        sends: How often it was sent to targets, also to those that refused.
        runs: How often it may have run.
        first_recorded: Whether its first send counts in the retry budget.
        counted: Whether it was counted for usage.
        version: Software version at which its stream began, if it has.
        prefilled: Whether an engine has accepted a prefill call for it.
    """

    sends: int = 0
    runs: int = 0
    first_recorded: bool = False
    counted: bool = False
    version: str | None = None
    prefilled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request that its first host has passed on.

    Args:
        sender: The host that passed it on.
        host: The requested host name.
        key: The caller's key, if it sent one.
        arrival: The request; its deadline is that of its run.
        service: The service that its first host has chosen.
        due_at: When its first token is due; ``inf`` if unknown.
        progress: What was done for it.
    """

    sender: str
    host: str
    key: str | None
    arrival: IncomingRequest
    service: str
    due_at: float
    progress: RunProgress


@dataclasses.dataclass(frozen=True, slots=True)
class HeadFrame:
    """The head of the target's response.

    ``version`` is the software version at which a stream began.
    """

    head: ResponseHead
    version: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class DataFrame:
    """A part of the body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EndFrame:
    """The outcome of the request; nothing follows."""

    outcome: ForwardedOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class AliveFrame:
    """The host still works on the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReachFrame:
    """What a host can say of a target."""

    reach: TargetReach


@dataclasses.dataclass(frozen=True, slots=True)
class ReachQuestion:
    """Asks whether a host reaches a target, given by its key."""

    target: str


Frame: TypeAlias = HeadFrame | DataFrame | EndFrame | AliveFrame | ReachFrame
