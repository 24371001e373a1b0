"""Decision core that records orders before it sends them."""

from functools import singledispatchmethod

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.orders.book import (
    RETRY_INTERVAL,
    OrderBook,
    TargetEntry,
    apply_row,
    get_change_key,
)
from clementinedyke.orders.messages import (
    OrderAnswered,
    OrderRecorded,
    OrderRequested,
    OrdersRead,
    OutboxAction,
    OutboxEvent,
    OutboxTick,
    RecordFailed,
    StateFailed,
    StateRead,
    TenureBegun,
    TenureEnded,
)
from clementinedyke.orders.types import OrderAnswer, OrderKind

_DEFAULT_QUIET_WAIT: Milliseconds = 5500
#: Kinds of which a target keeps only the most recent request.
_REPLACING_KINDS = frozenset((OrderKind.ROLE, OrderKind.VERSION))


class OutboxCore(OrderBook):
    """Turns requested changes into orders, one open order per target."""

    @singledispatchmethod
    def handle(
        self, event: OutboxEvent, now: Milliseconds
    ) -> list[OutboxAction]:
        """Process an event and return the actions to execute.

        :param event: event to process.
        :param now: current time in milliseconds.
        :raises NotImplementedError: if the event type has no handler.
        """
        raise NotImplementedError(type(event).__name__)

    @handle.register
    def _handle_tenure_begun(
        self, event: TenureBegun, now: Milliseconds
    ) -> list[OutboxAction]:
        self._handle_tenure_ended(TenureEnded(), now)
        self._fence = event.fence
        self._fence_version = event.fence_version
        return []

    @handle.register
    def _handle_tenure_ended(
        self, event: TenureEnded, now: Milliseconds
    ) -> list[OutboxAction]:
        self._fence_version = 0
        self._is_loaded = False
        self._is_loading = False
        self._targets.clear()
        return []

    @handle.register
    def _handle_tick(
        self, event: OutboxTick, now: Milliseconds
    ) -> list[OutboxAction]:
        if not self._fence_version:
            return []
        if not self._is_loaded:
            return self._load()
        return [
            action
            for name, target in self._targets.items()
            if target.fencing in event.allowed and not target.is_call_pending
            for action in self._advance(name, target, now)
        ]

    @handle.register
    def _handle_order_requested(
        self, event: OrderRequested, now: Milliseconds
    ) -> list[OutboxAction]:
        if not self._is_loaded:
            return []
        target = self._targets.setdefault(
            event.target, TargetEntry(event.fencing)
        )
        if not target.open_row:
            target.fencing = event.fencing
        subject = get_change_key(event.kind, event.argument)
        target.requested[subject] = (event.kind, event.argument)
        return []

    @handle.register
    def _handle_orders_read(
        self, event: OrdersRead, now: Milliseconds
    ) -> list[OutboxAction]:
        self._is_loading = False
        if event.orders is None or not self._fence_version:
            return []
        self._is_loaded = True
        for stored in event.orders:
            self._load_row(stored.target, stored.row, stored.version)
        return []

    @handle.register
    def _handle_order_recorded(
        self, event: OrderRecorded, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        if target is None:
            return []
        target.is_call_pending = False
        apply_row(target, event.row, event.version)
        # A new order was never sent, so the state need not be read first.
        target.is_sendable = True
        return []

    @handle.register
    def _handle_record_failed(
        self, event: RecordFailed, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        if target:
            target.is_call_pending = False
            self._is_loaded = False
        return []

    @handle.register
    def _handle_state_read(
        self, event: StateRead, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        row = target.open_row if target else None
        if target is None or row is None:
            return []
        target.is_call_pending = False
        if event.last_order != row.order_id:
            target.is_sendable = True
            return []
        if event.is_changing or now < target.quiet_until:
            target.retry_at = now + RETRY_INTERVAL
            return []
        return self._record(
            event.target, target, msgspec.structs.replace(row, outcome='done')
        )

    @handle.register
    def _handle_state_failed(
        self, event: StateFailed, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        if target:
            target.is_call_pending = False
            target.retry_at = now + RETRY_INTERVAL
        return []

    @handle.register
    def _handle_order_answered(
        self, event: OrderAnswered, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        row = target.open_row if target else None
        if target is None or row is None or row.order_id != event.order_id:
            return []
        target.is_call_pending = False
        target.is_sendable = False
        if event.answer is OrderAnswer.LOST:
            target.quiet_until = now + self._quiet_wait
        if event.answer is OrderAnswer.REFUSED and now >= target.quiet_until:
            refused = msgspec.structs.replace(row, outcome='refused')
            return self._record(event.target, target, refused)
        if event.answer is not OrderAnswer.ACCEPTED:
            target.retry_at = now + RETRY_INTERVAL
        return []
