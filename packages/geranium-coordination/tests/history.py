"""What happened in a run, and whether it was allowed."""

import dataclasses
from typing import Any, TypeAlias


class Violation(AssertionError):
    """The history breaks a promise."""


@dataclasses.dataclass(frozen=True, slots=True)
class Believed:
    """At this instant these sessions believe to hold the duty."""

    at: float
    duty: str
    sessions: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The store now names the session as the duty's holder."""

    at: float
    duty: str
    epoch: int
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class Journalled:
    """The store now has this order as the receiver's latest."""

    at: float
    receiver: str
    order_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """A process began to transmit; it held the authority or did not."""

    at: float
    receiver: str
    order_id: str
    held: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The receiver obeyed a copy of the order."""

    at: float
    receiver: str
    order_id: str


Event: TypeAlias = Believed | Taken | Journalled | Begun | Applied


class Checker:
    """Folds a history and raises at the first forbidden event."""

    def __init__(self) -> None:
        self._epochs_by_duty: dict[str, int] = {}
        self._journalled_by_receiver: dict[str, str] = {}
        self._applied_by_receiver: dict[str, str] = {}

    def check(self, history: list[Event]) -> None:
        for event in history:
            self._check(event)

    def _check(self, event: Event) -> None:
        match event:
            case Believed():
                _require(len(event.sessions) < 2, 'two believe', event)
            case Taken():
                last = self._epochs_by_duty.get(event.duty, -1)
                _require(event.epoch > last, 'epoch did not grow', event)
                self._epochs_by_duty[event.duty] = event.epoch
            case Journalled():
                self._journalled_by_receiver[event.receiver] = event.order_id
            case Begun():
                _require(event.held, 'sent without authority', event)
            case Applied():
                self._check_applied(event)

    def _check_applied(self, event: Applied) -> None:
        """A copy repeats the order in force or is the journal's latest."""
        if self._applied_by_receiver.get(event.receiver) == event.order_id:
            return
        latest = self._journalled_by_receiver.get(event.receiver)
        _require(event.order_id == latest, 'conflicting order', event)
        self._applied_by_receiver[event.receiver] = event.order_id


def _require(is_met: bool, promise: str, event: Any) -> None:
    if not is_met:
        raise Violation(f'{promise}: {event}')
