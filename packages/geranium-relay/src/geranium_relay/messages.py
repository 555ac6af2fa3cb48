"""What passes between callers, the relay and targets, free of any wire."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol, TypeAlias

from .catalogue import Route, Team
from .targets import Target

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt, known by its size and its parts in order.

    ``tokens`` counts the whole prompt, ``most_generated`` bounds what is
    generated from it.
    """

    tokens: int
    most_generated: int
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A caller's request that has been read whole.

    Args:
        identity: The caller's id of this attempt.
        method: HTTP method.
        path: Path and query as sent.
        headers: Those to pass on.
        body: The whole body.
        arrived_at: When it had been read.
        caller_deadline: Until when the caller waits.
        resume_after: Id of the last event that the caller has, if it wants
            a stream to go on.
        prompt: ``None`` where the request carries none.
    """

    identity: str
    method: str
    path: str
    headers: Headers
    body: bytes
    arrived_at: float
    caller_deadline: float
    resume_after: str | None
    prompt: Prompt | None


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An admitted request: what it is, where it goes, until when."""

    arrival: Arrival
    route: Route
    service: str
    team: Team | None
    deadline: float

    @property
    def priority(self) -> int:
        """Its rank: the team's where there is one, else the route's."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True)
class CacheHandle:
    """A prompt that an engine has read and keeps for another."""

    source: Target
    handle: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One sending of a job to a target.

    Args:
        job: The job.
        target: Who runs it.
        deadline: When the target stops.
        fetch_from: A prompt to fetch instead of reading it.
        resume_after: Id of the last event that need not come again.
    """

    job: Job
    target: Target
    deadline: float
    fetch_from: CacheHandle | None = None
    resume_after: str | None = None


class RelayError(Exception):
    """Base of the errors of calls to targets."""


class NotSentError(RelayError):
    """No byte of the call reached the target."""


class NotRunError(RelayError):
    """The target says that it did not run the call.

    ``misdirected`` tells that another target has the address.
    """

    def __init__(self, detail: str, *, misdirected: bool = False) -> None:
        super().__init__(detail)
        self.misdirected = misdirected


class AnswerLostError(RelayError):
    """The call was sent and its answer is lost or not one: it may have run.

    ``broken`` tells that the connection ended, as it does when the target
    crashes.
    """

    def __init__(self, detail: str, *, broken: bool = False) -> None:
        super().__init__(detail)
        self.broken = broken


class TargetSilentError(RelayError):
    """The target sent nothing by the deadline of the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, to be passed on unchanged."""

    status: int
    headers: Headers
    signed: bool

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


class TargetAnswer(Protocol):
    """An answer that has begun."""

    head: AnswerHead

    def chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it comes.

        Raises:
            AnswerLostError: If the body is cut before its end.
        """
        ...

    def close(self) -> None:
        """Drop the connection, which stops the target's work."""
        ...


class TargetPort(Protocol):
    """Calls to targets."""

    async def send(self, call: TargetCall) -> TargetAnswer:
        """Send a call and return its answer once its head is there.

        Raises:
            RelayError: One of its subclasses.
        """
        ...

    async def read_prompt(self, call: TargetCall) -> CacheHandle:
        """Have the target read the job's prompt and keep it.

        Raises:
            RelayError: One of its subclasses.
        """
        ...

    async def is_reachable(self, target: Target) -> bool:
        """Say whether the target accepts a new connection."""
        ...

    async def drop_prompt(self, handle: CacheHandle) -> None:
        """Free a prompt that nobody will fetch; failures are logged."""
        ...


class AnswerSink(Protocol):
    """The caller's side of an answer."""

    async def start(self, head: AnswerHead, length: int | None) -> None:
        """Begin the answer; ``length`` is ``None`` for a stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Pass a part of the body on."""
        ...

    async def finish(self) -> None:
        """End the answer as complete."""
        ...


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
    Delivered
    | Refused
    | UnknownRoute
    | UnknownKey
    | Failed
    | TimedOut
    | CutOff
)
