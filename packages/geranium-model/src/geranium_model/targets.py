"""Targets: the back ends that run requests, including engines."""

import dataclasses
import enum
from typing import TypeAlias


class Role(enum.Enum):
    """The phases of a completion that an engine runs."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    MIXED = 'mixed'


class Purchase(enum.Enum):
    """How a target is paid for; spot targets can be evicted by zone."""

    RESERVED = 'reserved'
    SPOT = 'spot'


class TargetState(enum.Enum):
    """The state of a target, as reported by the platform."""

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

    ``honours_fencing`` is whether it rejects orders with an epoch lower than
    the highest that it has seen.
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

    ``sampled_at`` is in seconds on the receiver's monotonic clock.
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
