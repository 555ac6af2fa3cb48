"""Messages between daemons; a question is answered by one message."""

import dataclasses
from typing import TypeAlias

from geranium_coordination import FreshnessReport, PendingWithdrawal
from geranium_policy import (
    ConsumptionReport,
    CrashNotice,
    InFlight,
    RoleDemand,
)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineDispatch:
    """What the sender has in flight on an engine."""

    engine: str
    in_flight: InFlight


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
class UsageCounter:
    """A team's usage in a window through the origin so far."""

    window: str
    team: str
    prompt_tokens: int
    generated_tokens: int
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReplica:
    """Asks the receiver to keep an origin's usage counters."""

    origin: str
    counters: tuple[UsageCounter, ...]


Question: TypeAlias = Ping | ConfigurationWanted | Announcement | UsageReplica
Answer: TypeAlias = Status | ConfigurationUpdate | Acknowledgement
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
