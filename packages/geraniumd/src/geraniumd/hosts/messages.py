"""Messages between daemons; each request gets one response."""

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
    """Requests that the sender has in flight on an engine.

    With ``is_reserved`` other hosts send the engine no work.
    """

    engine: str
    in_flight: InFlight
    is_reserved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConsumption:
    """Served and queued work of the sender's teams for a service."""

    service: str
    report: ConsumptionReport


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The sender's demand forecast for a service."""

    service: str
    demand: RoleDemand


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Requests the receiver's status and carries the sender's peer update."""

    dispatches: tuple[EngineDispatch, ...] = ()
    consumption: tuple[ServiceConsumption, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()
    crashes: tuple[CrashNotice, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Response to a ping."""

    report: FreshnessReport
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests the configuration changes since a version."""

    since_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Response with an encoded delta of the configuration."""

    encoded_delta: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Requests that the receiver suspend keys with a pending withdrawal."""

    pending: PendingWithdrawal


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Response to an announcement or a usage replica.

    ``counts`` is true if the receiver accepted it.
    """

    counts: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReplica:
    """Requests that the receiver store usage batches, or returns some."""

    batches: tuple[UsageBatch, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageRequest:
    """Requests the usage batches of a window and all earlier windows."""

    through_window: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Requests that the receiver commit an encoded claim operation."""

    encoded_operation: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResponse:
    """Response with an encoded claim outcome, empty if there is none."""

    encoded_outcome: bytes


Request: TypeAlias = (
    Ping
    | ConfigurationRequest
    | Announcement
    | UsageReplica
    | UsageRequest
    | ClaimRequest
)
Response: TypeAlias = (
    Status
    | ConfigurationUpdate
    | Acknowledgement
    | UsageReplica
    | ClaimResponse
)
Message: TypeAlias = Request | Response


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the number that matches a response to its request."""

    number: int
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Handshake message with the sender, a nonce and a proof of the secret."""

    host: str
    zone: str
    incarnation: str
    nonce: bytes
    proof: bytes = b''
