"""Client of the platform's endpoint orders.

The platform does not check the fence of an order.
"""

import msgspec

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.http.client import Address, HttpRequest
from clementinedyke.orders.target import TargetState
from clementinedyke.orders.types import OrderAnswer, OrderRow
from clementinedyke.peer_calls import (
    DEFAULT_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    call_unpooled,
)

_STATUS_SERVER_ERROR = 500


class _OrderBody(msgspec.Struct):
    kind: str
    argument: str
    fence: int


class EndpointOrderClient:
    """Sends orders that add or return endpoints; one connection per call."""

    def __init__(
        self, address: Address, timeout: Milliseconds = DEFAULT_TIMEOUT
    ) -> None:
        """Create a client.

        :param address: the platform's address.
        :param timeout: maximum wait for an answer in milliseconds.
        """
        self._address = address
        self._timeout = timeout

    async def send_order(self, row: OrderRow, fence: int) -> OrderAnswer:
        """Send a recorded order once, without a retry.

        :param row: order as recorded in the outbox.
        :param fence: fence of the current lease holder; the platform only
            logs it.
        """
        body = _OrderBody(row.kind.value, row.argument, fence)
        request = HttpRequest(
            'PUT', _get_path(row.order_id), body=msgspec.json.encode(body)
        )
        answer = await call_unpooled(self._address, request, self._timeout)
        if answer.is_err():
            if answer.unwrap_err() is TableFailure.UNKNOWN:
                return OrderAnswer.LOST
            return OrderAnswer.NOT_SENT
        status = answer.unwrap().status
        if status == STATUS_OK:
            return OrderAnswer.ACCEPTED
        if status >= _STATUS_SERVER_ERROR:
            return OrderAnswer.LOST
        return OrderAnswer.REFUSED

    async def get_state(self, order_id: str) -> TargetState | None:
        """Look up whether the platform has accepted an order.

        Returns a state without a last order if the platform doesn't know the
        order, and None if it did not answer.

        :param order_id: order to look up.
        """
        request = HttpRequest('GET', _get_path(order_id))
        answer = await call_unpooled(self._address, request, self._timeout)
        if answer.is_err():
            return None
        status = answer.unwrap().status
        if status == STATUS_OK:
            return TargetState(order_id)
        return TargetState(None) if status == STATUS_NOT_FOUND else None


def _get_path(order_id: str) -> str:
    return f'/v1/endpoint-orders/{order_id}'
