"""Interface between an outbox and the targets of its orders."""

from dataclasses import dataclass
from typing import Protocol

from clementinedyke.orders.types import OrderAnswer, OrderRow


@dataclass(frozen=True, slots=True)
class TargetState:
    """Last order that a target accepted, and whether it is still running."""

    last_order: str | None
    is_changing: bool = False


class OrderTarget(Protocol):
    """Client that sends orders to an engine or the endpoint interface."""

    async def send_order(self, row: OrderRow, fence: int) -> OrderAnswer:
        """Send a recorded order once.

        :param row: recorded order.
        :param fence: fence of the current lease holder.
        """

    async def get_state(self, order_id: str) -> TargetState | None:
        """Return the state of the target, None if it did not answer.

        :param order_id: identifier of the order whose outcome is unknown.
        """
