"""What passes between callers, the relay and targets, free of any wire."""

import dataclasses
import math
from http import HTTPStatus
from typing import TypeAlias

from .catalogue import Route, Team
from .targets import Target

LATE_RANKS = 5  # half of the ten ranks that engines tell apart

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
class IncomingRequest:
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
    """An admitted request: what it is, where it goes, until when.

    Args:
        arrival: The request as it came.
        route: Its route.
        service: The service that runs it.
        team: Whose it is, if the route asks for a key.
        deadline: Until when it is run.
        due_at: When its first token would be in time, counted from when its
            caller first asked; ``inf`` where that is not known.
    """

    arrival: IncomingRequest
    route: Route
    service: str
    team: Team | None
    deadline: float
    due_at: float = math.inf

    @property
    def is_late(self) -> bool:
        """Whether it had missed its latency objective when it came."""
        return self.arrival.arrived_at > self.due_at

    @property
    def rank(self) -> int:
        """Its rank among others, 0 for the most urgent.

        The team's priority goes before the route's, and requests that are
        late come after all that can still be in time.
        """
        priority = self.route.priority
        if self.team is not None and self.team.priority is not None:
            priority = self.team.priority
        return priority + LATE_RANKS if self.is_late else priority


@dataclasses.dataclass(frozen=True, slots=True)
class CacheHandle:
    """A prompt that an engine has read and keeps for another."""

    source: Target
    name: str
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


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer, to be passed on unchanged."""

    status: int
    headers: Headers
    signed: bool

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
