"""Orders as they stand in a journal."""

import dataclasses
import enum
from typing import Any

from .operations import OPERATION_FIELD
from .store import ABSENT_VERSION, StoredObject


class OrderState(enum.StrEnum):
    """How far an order has come.

    ``PLANNED``: journalled, and no copy was ever sent. ``SENT``: a copy may
    be on its way or have arrived. The others are ends: ``DONE``, ``FAILED``
    (the receiver refused it for good), ``RELEASED`` (given up unsent).
    """

    PLANNED = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()
    FAILED = enum.auto()
    RELEASED = enum.auto()

    @property
    def is_end(self) -> bool:
        """Whether the order needs nothing more."""
        return self not in {OrderState.PLANNED, OrderState.SENT}


class LateCopyHandling(enum.Enum):
    """What the receiver does with a copy that arrives after another order.

    ``REFUSED``: it honours fencing numbers. ``DEDUPLICATED``: it knows the
    order id and changes nothing. ``APPLIED``: it obeys every copy.
    """

    REFUSED = enum.auto()
    DEDUPLICATED = enum.auto()
    APPLIED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReceiver:
    """Whom a journal's orders go to, such as an engine."""

    name: str
    late_copy_handling: LateCopyHandling


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """A holder that may have copies of orders in hand or in flight.

    A session that takes the authority anew, in another epoch, is another
    sender.
    """

    session: str
    host: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The journal's latest order.

    ``command`` is any JSON value. ``number`` is the fencing number: it
    grows with each order and each change of the sending session, over the
    journal's whole life. ``sender`` says under which authority it was
    planned or sent last.
    """

    order_id: str
    command: Any
    state: OrderState
    number: int
    sender: Sender


@dataclasses.dataclass(frozen=True, slots=True)
class JournalRecord:
    """A receiver's journal as of one version.

    ``senders`` are the sessions that have not yet declared that none of
    their copies can still arrive.
    """

    version: int
    number: int
    order: Order | None
    senders: frozenset[Sender]

    @property
    def unfinished(self) -> Order | None:
        """The order that has to be carried to its end first."""
        if self.order is None or self.order.state.is_end:
            return None
        return self.order


EMPTY_RECORD = JournalRecord(ABSENT_VERSION, 0, None, frozenset())


def parse_record(found: StoredObject | None) -> JournalRecord:
    """Return the journal that a stored object describes."""
    if found is None:
        return EMPTY_RECORD
    return JournalRecord(
        version=found.version,
        number=found.body['number'],
        order=_parse_order(found.body['order']),
        senders=frozenset(Sender(**row) for row in found.body['senders']),
    )


def format_record(record: JournalRecord, operation: str) -> dict[str, Any]:
    """Return the body to store, stamped with the operation that writes it."""
    senders = sorted(record.senders, key=lambda sender: sender.epoch)
    order = record.order
    return {
        'number': record.number,
        'order': None if order is None else dataclasses.asdict(order),
        'senders': [dataclasses.asdict(sender) for sender in senders],
        OPERATION_FIELD: operation,
    }


def _parse_order(body: dict[str, Any] | None) -> Order | None:
    if body is None:
        return None
    return Order(
        order_id=body['order_id'],
        command=body['command'],
        state=OrderState(body['state']),
        number=body['number'],
        sender=Sender(**body['sender']),
    )
