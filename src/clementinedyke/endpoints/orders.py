"""Client of an engine's order interface over HTTP."""

import msgspec
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.decoding import decode_json
from clementinedyke.exceptions import (
    AnswerLostError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import Address, HttpRequest
from clementinedyke.orders.connection import exchange_once
from clementinedyke.orders.target import TargetState
from clementinedyke.orders.types import OrderAnswer, OrderRow

_TIMEOUT: Milliseconds = 2000
_STATUS_OK = 200
_STATUS_CONFLICT = 409
_STATUS_SERVER_ERROR = 500


class _OrderBody(msgspec.Struct):
    order_id: str
    fence: int
    kind: str
    argument: str


class _StateBody(msgspec.Struct):
    last_order: str | None = None
    changing: bool = False


class EngineOrderClient:
    """Sends orders to one engine.

    Implements :class:`clementinedyke.orders.target.OrderTarget`.
    """

    def __init__(
        self, address: Address, timeout: Milliseconds = _TIMEOUT
    ) -> None:
        """Create a client that opens a connection for each request.

        :param address: address of the engine.
        :param timeout: maximum wait for an answer in milliseconds.
        """
        self._address = address
        self._timeout = timeout

    async def send_order(self, row: OrderRow, fence: int) -> OrderAnswer:
        """Send a recorded order once, without retries.

        :param row: recorded order.
        :param fence: fencing token of the current lease holder.
        """
        body = _OrderBody(row.order_id, fence, row.kind.value, row.argument)
        request = HttpRequest(
            method='POST', target='/orders', body=msgspec.json.encode(body)
        )
        try:
            response = await exchange_once(
                self._address, request, self._timeout
            )
        except PeerUnavailableError:
            return OrderAnswer.NOT_SENT
        except AnswerLostError:
            return OrderAnswer.LOST
        return _convert_status(response.status)

    async def get_state(self, order_id: str) -> TargetState | None:
        """Return the state of the engine, or None if it is not available.

        :param order_id: unused, since an engine reports its last order.
        """
        request = HttpRequest(method='GET', target='/state')
        try:
            response = await exchange_once(
                self._address, request, self._timeout
            )
        except (PeerUnavailableError, AnswerLostError):
            return None
        if response.status != _STATUS_OK:
            return None
        try:
            state = decode_json(response.body, _StateBody)
        except ProtocolError as error:
            logging.warning('event=engine_state_unreadable error=%s', error)
            return None
        return TargetState(state.last_order, state.changing)


def _convert_status(status: int) -> OrderAnswer:
    if status == _STATUS_OK:
        return OrderAnswer.ACCEPTED
    if status == _STATUS_CONFLICT:
        return OrderAnswer.STALE
    if status >= _STATUS_SERVER_ERROR:
        return OrderAnswer.LOST
    return OrderAnswer.REFUSED
