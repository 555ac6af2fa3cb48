"""Orders accepted by an engine."""

import dataclasses
import enum

from geranium_model import EngineCommand

from .exceptions import FencedError, OrderMismatchError


class OrderState(enum.Enum):
    """Execution state of an order."""

    RUNNING = 'running'
    DONE = 'done'


@dataclasses.dataclass(slots=True)
class EngineOrder:
    """An accepted order."""

    order_id: str
    command: EngineCommand
    state: OrderState = OrderState.RUNNING


class OrderRegistry:
    """Accepts each order once.

    With ``honours_fencing`` it rejects orders with a stale epoch.
    """

    def __init__(self, honours_fencing: bool) -> None:
        self._honours_fencing = honours_fencing
        self._highest_epoch = 0
        self._orders_by_id: dict[str, EngineOrder] = {}

    @property
    def has_running(self) -> bool:
        """Whether an order is running."""
        return any(
            order.state is OrderState.RUNNING
            for order in self._orders_by_id.values()
        )

    def find(self, order_id: str) -> EngineOrder | None:
        """Return the accepted order with this id, ``None`` if unknown."""
        return self._orders_by_id.get(order_id)

    def accept(
        self,
        order_id: str,
        epoch: int,
        command: EngineCommand,
    ) -> EngineOrder:
        """Accept an order; return the existing order for a known id.

        Raises:
            FencedError: If an order with a higher epoch was seen.
            OrderMismatchError: If the id was used for another command.
        """
        if self._honours_fencing and epoch < self._highest_epoch:
            raise FencedError(self._highest_epoch)
        self._highest_epoch = max(self._highest_epoch, epoch)
        order = self._orders_by_id.setdefault(
            order_id,
            EngineOrder(order_id, command),
        )
        if order.command != command:
            raise OrderMismatchError(order_id)
        return order
