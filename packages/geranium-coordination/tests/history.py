"""The events of a simulated run and the checks of their invariants."""

import dataclasses
from typing import Any, TypeAlias


class Violation(AssertionError):
    """The history violates an invariant."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedHolders:
    """The sessions that consider themselves holders of a duty."""

    at: float
    duty: str
    sessions: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The store names the session as the new holder of the duty."""

    at: float
    duty: str
    epoch: int
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderJournaled:
    """The store has this order as the receiver's latest one."""

    at: float
    receiver: str
    order_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """A process began to transmit, with or without the authority."""

    at: float
    receiver: str
    order_id: str
    held: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The receiver applied a copy of the order."""

    at: float
    receiver: str
    order_id: str


Event: TypeAlias = (
    ObservedHolders | LeaseAcquired | OrderJournaled | Begun | Applied
)


class Checker:
    """Replays a history and raises at the first violation."""

    def __init__(self) -> None:
        self._epochs_by_duty: dict[str, int] = {}
        self._journalled_by_receiver: dict[str, str] = {}
        self._applied_by_receiver: dict[str, str] = {}

    def check(self, history: list[Event]) -> None:
        for event in history:
            self._check(event)

    def _check(self, event: Event) -> None:
        match event:
            case ObservedHolders():
                _require(len(event.sessions) < 2, 'two holders', event)
            case LeaseAcquired():
                last = self._epochs_by_duty.get(event.duty, -1)
                _require(event.epoch > last, 'epoch did not grow', event)
                self._epochs_by_duty[event.duty] = event.epoch
            case OrderJournaled():
                self._journalled_by_receiver[event.receiver] = event.order_id
            case Begun():
                _require(event.held, 'sent without authority', event)
            case Applied():
                self._check_applied(event)

    def _check_applied(self, event: Applied) -> None:
        """Check that a copy repeats the last applied order or is the latest."""
        if self._applied_by_receiver.get(event.receiver) == event.order_id:
            return
        latest = self._journalled_by_receiver.get(event.receiver)
        _require(event.order_id == latest, 'conflicting order', event)
        self._applied_by_receiver[event.receiver] = event.order_id


def _require(is_met: bool, promise: str, event: Any) -> None:
    if not is_met:
        raise Violation(f'{promise}: {event}')
