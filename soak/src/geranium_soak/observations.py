"""What callers, targets and the provider saw during a run."""

import collections
import dataclasses
import enum
import math
import time
from http import HTTPStatus
from typing import TypeAlias

from geranium_platform_standins import ReceivedRequest

STORE = 'store'  # the subject of faults that hit all hosts' store


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """The time between two instants."""

    since: float
    until: float

    def holds(self, other: 'Span') -> bool:
        """Say whether another span lies within this one."""
        return self.since <= other.since and other.until <= self.until


def now() -> float:
    """Return the instant that all observations are stamped with."""
    return time.monotonic()


class RequestKind(enum.Enum):
    """What a request's route says of repeating it."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'streaming'
    RESUMABLE = 'resumable'


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as a caller sent it.

    Args:
        identity: Its id, unique in a run.
        kind: What its route says of repeating it.
        path: Where it was sent.
        body: What it carries.
        key: The caller's key.
        team: The team that the key belongs or belonged to.
        host: The host that it was sent to.
        incarnation: Counts the processes of that host.
        at: When it was sent.
        probed_version: The catalogue version whose route it tries, for probes.
    """

    identity: str
    kind: RequestKind
    path: str
    body: bytes
    key: str
    team: str
    host: str
    incarnation: int
    at: float
    probed_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The caller got a complete answer."""

    status: int
    signature: str | None
    body: bytes
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionCut:
    """The connection ended before the answer was complete."""

    reason: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection could be made."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection without an answer."""

    at: float


Outcome: TypeAlias = Response | ConnectionCut | Unreachable | CallerLeft


@dataclasses.dataclass(slots=True)
class TargetRequest:
    """A request at a target.

    Args:
        taken: The request as the target got it.
        at: When it came.
        ran_at: When the target began to work on it, if it did.
        ended_at: When the target stopped working on it.
        answers: What the target answered by signature.
    """

    taken: ReceivedRequest
    at: float
    ran_at: float | None = None
    ended_at: float | None = None
    answers: dict[str, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ProviderCall:
    """A call of a duty as the provider accepted it.

    Args:
        subject: What the call is about; fences are compared within it.
        holder: Who sent it.
        fence: The number that it was sent with.
        window: The window that it reports, if it does.
        counts_by_team: The figures that it reports.
        at: When it came.
    """

    subject: str
    holder: str
    fence: int
    window: int | None
    counts_by_team: dict[str, int]
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the catalogue that the store has acknowledged."""

    version: int
    at: float
    withdrawn_keys: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """A fault that was in force.

    Args:
        what: Its kind, for reports.
        subjects: The hosts and targets that it hit, or ``STORE``.
        planned: Whether it is work that may not cost a request.
        began_at: When it began.
        ended_at: When it ended.
    """

    what: str
    subjects: frozenset[str]
    planned: bool
    began_at: float
    ended_at: float

    def affects(self, subject: str, since: float, until: float) -> bool:
        """Say whether it hit a subject within a span of time."""
        return subject in self.subjects and self.overlaps(since, until)

    def overlaps(self, since: float, until: float) -> bool:
        """Say whether it was in force at some time of a span."""
        return self.began_at <= until and self.ended_at >= since


def was_served(end: Outcome) -> bool:
    """Say whether a caller got what it asked for."""
    return isinstance(end, Response) and end.status == HTTPStatus.OK


class Ledger:
    """Collects the observations of one run.

    ``changes`` and ``provider_calls`` stand in the order in which they were
    acknowledged. ``disruptions`` holds those that are over.
    ``left_at_by_target`` says when a target announced that it leaves,
    ``crossed_prompts`` the requests that went on from another's prompt.
    In ``calm`` the service has to be whole; ``unix_offset_s`` is added to an
    instant for Unix time.
    """

    def __init__(self) -> None:
        self.sent_by_id: dict[str, SentRequest] = {}
        self.outcome_by_id: dict[str, Outcome] = {}
        self.target_requests_by_id: collections.defaultdict[
            str, list[TargetRequest]
        ] = collections.defaultdict(list)
        self.provider_calls: list[ProviderCall] = []
        self.changes: list[Change] = []
        self.disruptions: list[Disruption] = []
        self.left_at_by_target: dict[str, float] = {}
        self.crossed_prompts: list[str] = []
        self.calm = Span(math.inf, math.inf)
        self.unix_offset_s = time.time() - now()

    def record_disruption(
        self,
        what: str,
        subject: str,
        began_at: float,
        *,
        planned: bool = False,
    ) -> None:
        """Note a fault that has ended now."""
        self.disruptions.append(
            Disruption(what, frozenset((subject,)), planned, began_at, now()),
        )

    def runs(self, identity: str) -> list[TargetRequest]:
        """Return the arrivals of a request that ran."""
        return [
            request
            for request in self.target_requests_by_id.get(identity, ())
            if request.ran_at is not None
        ]

    def was_calm(
        self,
        subjects: frozenset[str],
        since: float,
        until: float,
        *,
        planned_too: bool = True,
    ) -> bool:
        """Say whether no fault hit any of the subjects within a span.

        Args:
            subjects: Hosts, targets or ``STORE``.
            since: The beginning of the span.
            until: Its end.
            planned_too: Whether planned work counts as a fault.
        """
        return not any(
            disruption.affects(subject, since, until)
            for disruption in self.disruptions
            if planned_too or not disruption.planned
            for subject in subjects
        )
