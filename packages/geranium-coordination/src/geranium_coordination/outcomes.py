"""How planning and sending an order turned out."""

import dataclasses
from typing import Generic, TypeAlias, TypeVar

from .authority import Lost
from .orders import Order, Sender
from .transmissions import Transmission

_SendHandle = TypeVar('_SendHandle')


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """The order stands in the journal and may be sent."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class Unfinished:
    """An earlier order has to be carried to its end first."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The order of this id has ended before."""

    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """Copies of earlier orders may still arrive from these senders."""

    senders: frozenset[Sender]


PlanOutcome: TypeAlias = Planned | Unfinished | Ended | Blocked | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Started(Generic[_SendHandle]):
    """A copy of the order is on its way."""

    order: Order
    transmission: Transmission[_SendHandle]


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """No copy was sent by this call."""

    reason: str
