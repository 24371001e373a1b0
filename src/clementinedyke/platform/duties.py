"""Client for the calls that only the holder of the duties lease may make."""

import sys
from collections.abc import Mapping
from http import HTTPStatus
from typing import Annotated

import msgspec
from absl import logging
from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.decoding import decode_json
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.duty_types import (
    Authority,
    CapacityOrder,
    EngineState,
    OrderOutcome,
    StageOrder,
)
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address, Headers, HttpRequest
from clementinedyke.peer_calls import STATUS_OK, call_unpooled

_JSON_TYPE = (b'Content-Type', b'application/json')
_STATUS_SERVER_ERROR = 500
_OUTCOMES: Mapping[int, OrderOutcome] = {
    HTTPStatus.OK: OrderOutcome.DONE,
    HTTPStatus.ACCEPTED: OrderOutcome.DONE,
    HTTPStatus.CONFLICT: OrderOutcome.UNAVAILABLE,
    HTTPStatus.TOO_MANY_REQUESTS: OrderOutcome.NOT_DONE,
    HTTPStatus.SERVICE_UNAVAILABLE: OrderOutcome.NOT_DONE,
}
#: The platform answers within a few milliseconds, and takes 50 times as long
#: when it is slow.
_CALL_TIMEOUT: Milliseconds = 1200


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


class _Scale(msgspec.Struct, omit_defaults=True):
    service: str
    zone: str
    desired: int
    spot: bool = False


class _Stage(msgspec.Struct):
    op: str
    stage: str
    holder: str
    fence: int
    #: Number of orders that the engine must have accepted before this one.
    expected: int


#: Numbers in orders have at most 63 bits.
_Sequence = Annotated[int, msgspec.Meta(ge=0, le=sys.maxsize)]


class _Report(msgspec.Struct):
    stage: str
    #: Whether the engine carries out an order; running requests don't count.
    busy: bool
    #: Number of orders accepted. The field of the same name in the engine's
    #: store entry counts heartbeats instead.
    sequence: _Sequence


class DutyClient:
    """Sends usage reports and orders, each call over a new connection.

    A call without an answer closes its connection and discards unsent bytes,
    so that it can't arrive long after it was sent.
    """

    def __init__(self, address: Address) -> None:
        """Create a client.

        :param address: address of the platform's interface for usage reports
            and capacity orders.
        """
        self._address = address

    async def report_usage(
        self, window: int, counts: dict[str, int], authority: Authority
    ) -> Result[None, TableFailure]:
        """Report the number of requests per customer started in a window.

        :param window: number of the usage window.
        :param counts: number of requests by customer name.
        :param authority: host that holds the duties, and its fence.
        """
        body = msgspec.json.encode(_Usage(window, counts))
        outcome = await self._post('/usage', body, authority)
        if outcome is OrderOutcome.DONE:
            return Ok(None)
        if outcome is OrderOutcome.UNKNOWN:
            return Err(TableFailure.UNKNOWN)
        return Err(TableFailure.NOT_DONE)

    async def order_capacity(
        self, order: CapacityOrder, authority: Authority
    ) -> OrderOutcome:
        """Order a number of engines for a service in an availability zone.

        :param order: service, zone, price class and total number of engines.
        :param authority: host that holds the duties, and its fence.
        """
        body = msgspec.json.encode(
            _Scale(
                service=order.service,
                zone=order.availability_zone,
                desired=order.count,
                spot=order.is_cheap,
            )
        )
        return await self._post('/scale', body, authority)

    async def order_stage(
        self, order: StageOrder, authority: Authority
    ) -> OrderOutcome:
        """Order an engine to change its stage.

        :param order: engine, new stage, and number of orders that the engine
            must have accepted so far.
        :param authority: host that holds the duties, and its fence.
        """
        body = msgspec.json.encode(
            _Stage(
                op='stage',
                stage=order.stage.value,
                holder=authority.holder,
                fence=authority.fence,
                expected=order.accepted_orders,
            )
        )
        expected = order.endpoint.endpoint_id.encode()
        request = HttpRequest(
            'POST',
            '/v1/order',
            [(b'X-Expect-Instance', expected), _JSON_TYPE],
            body,
        )
        return await _call(order.endpoint.address, request)

    async def get_engine_state(
        self, endpoint: EntryEndpoint
    ) -> EngineState | None:
        """Return the state that an engine reports.

        Returns None if the engine does not answer or its report is invalid.

        :param endpoint: engine to query.
        """
        expected = (b'X-Expect-Instance', endpoint.endpoint_id.encode())
        request = HttpRequest('GET', '/v1/report', [expected])
        answer = await call_unpooled(endpoint.address, request, _CALL_TIMEOUT)
        if answer.is_err() or answer.unwrap().status != STATUS_OK:
            return None
        try:
            report = decode_json(answer.unwrap().body, _Report)
            stage = Stage(report.stage)
        except (ProtocolError, ValueError) as error:
            logging.warning('event=engine_report_unreadable error=%s', error)
            return None
        return EngineState(stage, report.busy, report.sequence)

    async def _post(
        self, target: str, body: bytes, authority: Authority
    ) -> OrderOutcome:
        headers: Headers = [
            (b'X-Duty-Holder', authority.holder.encode()),
            (b'X-Fencing-Token', str(authority.fence).encode()),
            _JSON_TYPE,
        ]
        return await _call(
            self._address, HttpRequest('POST', target, headers, body)
        )


async def _call(address: Address, request: HttpRequest) -> OrderOutcome:
    answer = await call_unpooled(address, request, _CALL_TIMEOUT)
    if answer.is_err():
        if answer.unwrap_err() is TableFailure.UNKNOWN:
            return OrderOutcome.UNKNOWN
        return OrderOutcome.NOT_DONE
    status = answer.unwrap().status
    if status >= _STATUS_SERVER_ERROR:
        return _OUTCOMES.get(status, OrderOutcome.UNKNOWN)
    return _OUTCOMES.get(status, OrderOutcome.REFUSED)
