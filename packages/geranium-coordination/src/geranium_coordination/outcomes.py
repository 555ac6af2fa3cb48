"""Outcomes of planning and sending an order."""

import dataclasses
from typing import Generic, TypeAlias, TypeVar

from .authority import Lost
from .orders import Order, Sender
from .transmissions import Transmission

_SendHandle = TypeVar('_SendHandle')


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """The order is stored in the journal and may be sent."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class Unfinished:
    """An earlier order must be completed first."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The order with this id is already in a final state."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """Copies of earlier orders may still arrive from these senders."""

    senders: frozenset[Sender]


PlanOutcome: TypeAlias = Planned | Unfinished | Ended | Blocked | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Started(Generic[_SendHandle]):
    """The transmission of a copy of the order has started."""

    order: Order
    transmission: Transmission[_SendHandle]


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """This call sent no copy."""

    reason: str
