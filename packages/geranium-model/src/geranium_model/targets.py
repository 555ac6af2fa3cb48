"""Targets: the back ends that run requests, engines among them."""

import dataclasses
import enum
from typing import TypeAlias


class Role(enum.Enum):
    """Which phase of a completion an engine works on."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    MIXED = 'mixed'


class Purchase(enum.Enum):
    """How a target is paid for; spot ones may be evicted by zone."""

    RESERVED = 'reserved'
    SPOT = 'spot'


class TargetState(enum.Enum):
    """What the platform says of a target."""

    STARTING = 'starting'
    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An application target; ``address`` is ``host:port``."""

    name: str
    service: str
    zone: str
    address: str
    purchase: Purchase = Purchase.RESERVED
    state: TargetState = TargetState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """A model engine.

    ``honours_fencing`` says whether it refuses orders with an epoch lower
    than the highest that it has seen.
    """

    name: str
    service: str
    zone: str
    address: str
    role: Role = Role.MIXED
    honours_fencing: bool = True
    purchase: Purchase = Purchase.RESERVED
    state: TargetState = TargetState.LIVE


Backend: TypeAlias = Target | Engine


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """A load report of an engine.

    ``sampled_at`` is in seconds on the reader's monotonic clock.
    """

    engine: str
    role: Role
    accepting: bool
    running: int
    waiting: int
    kv_pieces_used: int
    kv_pieces: int
    prefill_tokens_waiting: int
    sampled_at: float
