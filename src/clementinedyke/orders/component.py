"""Runs the outbox core of one scope and executes the actions it returns.

A scope is what one lease covers, such as ``service/NAME``. A tenure is the time
for which one process holds the lease. The fence is a number that increases with
each tenure; targets that check it refuse the orders of former holders. The
fence version is the version of the table row that stores the fence. It
identifies the tenure, and orders are recorded only while it is unchanged.
"""

from collections import Counter
from collections.abc import Callable

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.leases.component import FENCES_TABLE, TICK_INTERVAL
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.types import Fencing
from clementinedyke.orders.connection import USER_TIMEOUT
from clementinedyke.orders.core import OutboxCore
from clementinedyke.orders.messages import (
    OrderAnswered,
    OrderRecorded,
    OrderRequested,
    OrdersRead,
    OutboxAction,
    OutboxEvent,
    OutboxTick,
    ReadOrders,
    ReadState,
    RecordFailed,
    RecordOrder,
    SendOrder,
    StateFailed,
    StateRead,
    StoredOrder,
    TenureBegun,
    TenureEnded,
)
from clementinedyke.orders.target import OrderTarget
from clementinedyke.orders.types import OrderAnswer, OrderKind, OrderRow
from clementinedyke.reference_platform.tables import (
    Commit,
    Condition,
    TableClient,
    Write,
)
from clementinedyke.rows import convert_row

#: Interval between ticks of a core without the lease.
_IDLE_INTERVAL: Milliseconds = 1000
ORDERS_TABLE = 'orders'
_MILLISECONDS_PER_SECOND = 1000
#: Upper bound of the ratio between the clock rates of two hosts.
_CLOCK_DRIFT_FACTOR = 1.1


class OutboxComponent(Component):
    """Records and sends the orders of one scope while its lease is held."""

    def __init__(
        self,
        scope: str,
        lease: LeaseCore,
        tables: TableClient,
        select_target: Callable[[str], OrderTarget | None],
        clock: Clock,
    ) -> None:
        """Create the component.

        :param scope: name of what the lease covers.
        :param lease: lease of the scope.
        :param tables: client of the table service.
        :param select_target: returns the client of a target, None if the
            target is currently unknown.
        :param clock: clock of the process.
        """
        self._scope = scope
        self._lease = lease
        self._tables = tables
        self._select_target = select_target
        self._clock = clock
        self._core = OutboxCore(scope)
        self._tenure = 0
        self._is_closing = False
        self._nursery: trio.Nursery | None = None
        #: Number of orders sent that still wait for their answer.
        self._sending = 0
        #: Time at which the last order was lost, that is, its answer did not
        #: arrive and the target may still receive it.
        self._lost_at: Milliseconds | None = None
        #: Number of events since the start: ``recorded`` for new orders, the
        #: outcome for completed ones, ``answered_`` and the result for each
        #: attempt to send one.
        self.counts: Counter[str] = Counter()

    @property
    def core(self) -> OutboxCore:
        """Outbox core of the scope, read-only."""
        return self._core

    def request_order(
        self, target: str, fencing: Fencing, kind: OrderKind, argument: str
    ) -> None:
        """Request a change of a target.

        The request is ignored unless the lease is held and the stored orders
        have been read since it was acquired.

        :param target: name of the target.
        :param fencing: whether the target checks the fence.
        :param kind: kind of the change.
        :param argument: what the kind of change applies to: the role, version,
            model or adapter, or the endpoints to order or return.
        """
        self._handle(OrderRequested(target, fencing, kind, argument))

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task that records and sends orders.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(self._run)

    async def close_orders(self) -> None:
        """End the tenure and wait until no order sent in it can still arrive.

        Aborts the connections of orders that are being sent. An order without
        an answer may arrive until the TCP user timeout of its connection.
        """
        self._is_closing = True
        self._core.handle(TenureEnded(), self._clock.get_now())
        self._tenure = 0
        if self._sending:
            self._lost_at = self._clock.get_now()
        if self._nursery:
            self._nursery.cancel_scope.cancel()
        while self._sending or self._may_lost_order_arrive():
            await trio.sleep(TICK_INTERVAL / _MILLISECONDS_PER_SECOND)
        self._is_closing = False

    def _may_lost_order_arrive(self) -> bool:
        if self._lost_at is None:
            return False
        # USER_TIMEOUT is set as the option TCP_USER_TIMEOUT of the connection.
        latest_arrival = self._lost_at + USER_TIMEOUT * _CLOCK_DRIFT_FACTOR
        return self._clock.get_now() < latest_arrival

    async def _run(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._tick_forever()

    async def _tick_forever(self) -> None:
        while True:
            if not self._is_closing:
                self._tick()
            is_held = self._lease.is_held(self._clock.get_now())
            wait = TICK_INTERVAL if is_held else _IDLE_INTERVAL
            await trio.sleep(wait / _MILLISECONDS_PER_SECOND)

    def _tick(self) -> None:
        now = self._clock.get_now()
        allowed = frozenset(
            fencing
            for fencing in Fencing
            if self._lease.may_order(fencing, now)
        )
        tenure = self._lease.fence_version if allowed else 0
        if tenure and tenure != self._tenure:
            self._tenure = tenure
            self._handle(TenureBegun(self._lease.fence, tenure))
        self._handle(OutboxTick(allowed))

    def _handle(self, event: OutboxEvent) -> None:
        actions = self._core.handle(event, self._clock.get_now())
        if self._nursery is None:
            return
        for action in actions:
            self._nursery.start_soon(self._execute, action)

    async def _execute(self, action: OutboxAction) -> None:
        match action:
            case ReadOrders():
                outcome = await self._read_orders()
            case RecordOrder():
                outcome = await self._record(action)
            case ReadState():
                outcome = await self._read_state(action)
            case SendOrder():
                outcome = await self._send(action)
        self._handle(outcome)

    async def _read_orders(self) -> OutboxEvent:
        prefix = f'{self._scope}|'
        answer = await self._tables.list_rows(ORDERS_TABLE, prefix)
        if answer.is_err():
            return OrdersRead(None)
        found = (
            (row, convert_row(ORDERS_TABLE, row, OrderRow))
            for row in answer.unwrap().rows
        )
        # The target of an unreadable row gets no orders: recording one needs
        # the version of the row.
        return OrdersRead(
            tuple(
                StoredOrder(row.key.removeprefix(prefix), order, row.version)
                for row, order in found
                if order is not None
            )
        )

    async def _record(self, action: RecordOrder) -> OutboxEvent:
        key = f'{self._scope}|{action.target}'
        answer = await self._tables.commit(
            [
                Condition(ORDERS_TABLE, key, action.version),
                Condition(FENCES_TABLE, self._scope, action.fence_version),
            ],
            [Write(ORDERS_TABLE, key, action.row)],
        )
        outcome = None if answer.is_err() else answer.unwrap()
        if isinstance(outcome, Commit):
            is_new = action.row.outcome == 'open'
            self.counts['recorded' if is_new else action.row.outcome] += 1
            return OrderRecorded(action.target, action.row, outcome.revision)
        return RecordFailed(action.target)

    async def _read_state(self, action: ReadState) -> OutboxEvent:
        client = self._select_target(action.target)
        state = await client.get_state(action.order_id) if client else None
        if state is None:
            return StateFailed(action.target)
        return StateRead(action.target, state.last_order, state.is_changing)

    async def _send(self, action: SendOrder) -> OutboxEvent:
        client = self._select_target(action.target)
        answer = OrderAnswer.NOT_SENT
        if client:
            self._sending += 1
            try:
                answer = await client.send_order(action.row, action.fence)
            finally:
                self._sending -= 1
        self.counts[f'answered_{answer.value}'] += 1
        if answer is OrderAnswer.LOST:
            self._lost_at = self._clock.get_now()
        return OrderAnswered(action.target, action.row.order_id, answer)
