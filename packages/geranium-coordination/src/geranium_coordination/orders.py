"""Orders and journal records as they are stored."""

import dataclasses
import enum
from typing import Any

from .operations import OPERATION_FIELD
from .store import ABSENT_VERSION, StoredObject


class OrderState(enum.StrEnum):
    """The state of an order.

    ``PLANNED``: stored, and no copy was ever sent. ``SENT``: a copy may be
    in flight or have arrived. The other states are final: ``DONE``,
    ``FAILED`` (the receiver rejected it permanently), ``RELEASED``
    (withdrawn before it was sent).
    """

    PLANNED = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()
    FAILED = enum.auto()
    RELEASED = enum.auto()

    @property
    def is_final(self) -> bool:
        """Whether the order needs no further action."""
        return self not in {OrderState.PLANNED, OrderState.SENT}


class LateCopyHandling(enum.Enum):
    """How the receiver handles a copy that arrives after another order.

    ``REFUSED``: it checks fencing numbers and rejects the copy.
    ``DEDUPLICATED``: it recognizes the order id and ignores the copy.
    ``APPLIED``: it applies every copy.
    """

    REFUSED = enum.auto()
    DEDUPLICATED = enum.auto()
    APPLIED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReceiver:
    """The receiver of a journal's orders, such as an engine."""

    name: str
    late_copy_handling: LateCopyHandling


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """A holder of the authority that may have unsent or in-flight copies.

    A session that acquires the authority again, in another epoch, is another
    sender.
    """

    session: str
    host: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The journal's latest order.

    ``command`` is any JSON value. ``number`` is the fencing number: it
    grows with each order and each change of sender, for the lifetime of the
    journal. ``sender`` is the sender that planned or sent the order last.
    """

    order_id: str
    command: Any
    state: OrderState
    number: int
    sender: Sender


@dataclasses.dataclass(frozen=True, slots=True)
class JournalRecord:
    """One version of a receiver's journal.

    ``senders`` are those that have not yet declared that none of their
    copies can still arrive.
    """

    version: int
    number: int
    order: Order | None
    senders: frozenset[Sender]

    @property
    def unfinished(self) -> Order | None:
        """The latest order, if its state is not final."""
        if self.order is None or self.order.state.is_final:
            return None
        return self.order


EMPTY_RECORD = JournalRecord(ABSENT_VERSION, 0, None, frozenset())


def parse_record(found: StoredObject | None) -> JournalRecord:
    """Return the journal record of a stored object."""
    if found is None:
        return EMPTY_RECORD
    return JournalRecord(
        version=found.version,
        number=found.body['number'],
        order=_parse_order(found.body['order']),
        senders=frozenset(Sender(**row) for row in found.body['senders']),
    )


def format_record(record: JournalRecord, operation: str) -> dict[str, Any]:
    """Return the body to store, with the id of the writing operation."""
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
