"""What an outbox needs of a target of orders."""

from dataclasses import dataclass
from typing import Protocol

from clementinedyke.orders.types import OrderAnswer, OrderRow


@dataclass(frozen=True, slots=True)
class TargetState:
    """Last order that a target took, and whether it still carries it out."""

    last_order: str | None
    is_changing: bool = False


class OrderTarget(Protocol):
    """Client of an engine's orders or of the endpoint interface."""

    async def send_order(self, row: OrderRow, fence: int) -> OrderAnswer:
        """Send a recorded order once.

        :param row: order as recorded.
        :param fence: fence of the present holder.
        """

    async def get_state(self, order_id: str) -> TargetState | None:
        """Return the state of the target, None if it did not answer.

        :param order_id: order whose outcome is looked for.
        """
