"""Messages between callers, hosts and targets."""

import dataclasses
import math
from http import HTTPStatus
from typing import TypeAlias

from geranium_policy.crash_causes import RequestFingerprints

from .catalogue import Route, Team
from .targets import Target

LATE_RANK_OFFSET = 5  # half of the ten ranks that engines distinguish

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """A host and its addresses.

    Args:
        host: Its name.
        zone: Its availability zone.
        front: Address for callers.
        address: Address for peer updates.
        incarnation: Increases with each start of its process.
        capacity: Relative power of its processor and link.
    """

    host: str
    zone: str
    front: str
    address: str
    incarnation: int
    capacity: int = 0

    @property
    def precedence(self) -> tuple[int, str]:
        """Orders the hosts of a zone: the strongest come first, then by name."""
        return -self.capacity, self.host


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt, described by its size and its ordered parts.

    ``tokens`` is the size of the whole prompt, ``max_generated`` the maximum
    number of generated tokens.
    """

    tokens: int
    max_generated: int
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request that has been read completely.

    Args:
        identity: The caller's id for this attempt.
        method: HTTP method.
        path: Path and query as sent.
        headers: Headers to forward.
        body: The complete body.
        arrived_at: When it had been read.
        caller_deadline: Instant until which the caller waits.
        resume_after: Id of the last event that the caller has received, if
            it resumes a stream.
        began_as: The id of the attempt that brought the caller the first event
            of the stream that it resumes.
        prompt: ``None`` if the request has none.
        tokens: Tokens of the prompt and of the response, as the caller has
            named them; ``None`` if it named none.
        malformed_size: Whether it has named them in an invalid form.
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
    began_as: str | None = None
    tokens: int | None = None
    malformed_size: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An admitted request with its route, service and deadline.

    Args:
        arrival: The incoming request.
        route: Its route.
        service: The service that runs it.
        team: The team of its key, if the route requires a key.
        deadline: When its run ends.
        fingerprints: Identify it and its shared parts when targets crash.
        due_at: When its first token is due, counted from the caller's first
            attempt; ``inf`` if unknown.
        key: The caller's key, if it sent one.
        forwarded: Whether another host, which has the caller, passed it on.
    """

    arrival: IncomingRequest
    route: Route
    service: str
    team: Team | None
    deadline: float
    fingerprints: RequestFingerprints
    due_at: float = math.inf
    key: str | None = None
    forwarded: bool = False

    @property
    def is_late(self) -> bool:
        """Whether it had missed its latency objective on arrival."""
        return self.arrival.arrived_at > self.due_at

    @property
    def rank(self) -> int:
        """Its scheduling rank, 0 for the most urgent.

        The team's priority overrides the route's. Late requests rank after
        all requests that can still meet their objective.
        """
        priority = self.route.priority
        if self.team is not None and self.team.priority is not None:
            priority = self.team.priority
        return priority + LATE_RANK_OFFSET if self.is_late else priority


@dataclasses.dataclass(frozen=True, slots=True)
class CacheHandle:
    """A prompt that an engine has prefilled and holds for another engine."""

    source: Target
    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One call that sends a job to a target.

    Args:
        job: The job.
        target: The target that runs it.
        deadline: When the target stops.
        fetch_from: A prefilled prompt to fetch instead of prefilling it.
        resume_after: Id of the last event that is not sent again.
        may_repeat: Whether the job may run again if the response is lost.
        new_connection: Whether it is sent on a connection of its own.
    """

    job: Job
    target: Target
    deadline: float
    fetch_from: CacheHandle | None = None
    resume_after: str | None = None
    may_repeat: bool = False
    new_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response, forwarded unchanged."""

    status: int
    headers: Headers
    signed: bool

    @property
    def succeeded(self) -> bool:
        """Whether the status is in the 2xx range."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
