"""Messages between daemons; a question is answered by one message."""

import dataclasses
from typing import TypeAlias

from geranium_coordination import (
    FreshnessReport,
    PendingWithdrawal,
    UsageBatch,
)
from geranium_policy import (
    ConsumptionReport,
    CrashNotice,
    InFlight,
    RoleDemand,
)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineDispatch:
    """What the sender has in flight on an engine.

    ``is_reserved`` asks for no other work on it.
    """

    engine: str
    in_flight: InFlight
    is_reserved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConsumption:
    """What the sender's teams were served of a service, and wait for."""

    service: str
    report: ConsumptionReport


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The work that the sender forecasts for a service."""

    service: str
    demand: RoleDemand


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for the receiver's status and brings the sender's news."""

    dispatches: tuple[EngineDispatch, ...] = ()
    consumption: tuple[ServiceConsumption, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()
    crashes: tuple[CrashNotice, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Answers a ping."""

    report: FreshnessReport
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationWanted:
    """Asks for what changed since a version of the configuration."""

    since_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Answers with an encoded delta of the configuration."""

    encoded_delta: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Asks the receiver to hold keys back that may be withdrawn soon."""

    pending: PendingWithdrawal


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answers an announcement or a usage replica; ``counts`` if it took."""

    counts: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReplica:
    """Asks the receiver to keep usage batches, or answers with some."""

    batches: tuple[UsageBatch, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageWanted:
    """Asks for the usage batches of a window and of those before it."""

    through_window: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """Asks the receiver to commit an encoded claim operation."""

    encoded_operation: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answers with an encoded claim outcome, empty where there is none."""

    encoded_outcome: bytes


Question: TypeAlias = (
    Ping
    | ConfigurationWanted
    | Announcement
    | UsageReplica
    | UsageWanted
    | ClaimQuestion
)
Answer: TypeAlias = (
    Status | ConfigurationUpdate | Acknowledgement | UsageReplica | ClaimAnswer
)
Message: TypeAlias = Question | Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message with the number that ties an answer to its question."""

    number: int
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a connection: who speaks, a nonce, and a proof of the secret."""

    host: str
    zone: str
    incarnation: str
    nonce: bytes
    proof: bytes = b''
