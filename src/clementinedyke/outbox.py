"""Decision core of orders that are recorded before they are sent."""

from dataclasses import dataclass, field
from functools import singledispatchmethod

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.lease_messages import Fencing
from clementinedyke.outbox_messages import (
    AskState,
    OrderAnswer,
    OrderAnswered,
    OrderKind,
    OrderRecorded,
    OrderRow,
    OrdersRead,
    OrderWanted,
    OutboxAction,
    OutboxEvent,
    OutboxTick,
    ReadOrders,
    RecordFailed,
    RecordOrder,
    SendOrder,
    StateFailed,
    StateRead,
    TenureBegun,
    TenureEnded,
)

_RETRY_INTERVAL: Milliseconds = 500
_DEFAULT_QUIET_WAIT: Milliseconds = 5500
#: Kinds whose newest argument replaces any earlier wish.
_REPLACING_KINDS = frozenset((OrderKind.ROLE, OrderKind.VERSION))


@dataclass(slots=True)
class _Target:
    """What the holder knows about one target.

    ``is_busy`` from a call's action to its event. ``is_asked`` once the target
    said that the open order is not its last one. No new order is recorded
    before ``quiet_until``, since a lost sending may arrive until then.
    """

    fencing: Fencing
    row: OrderRow | None = None
    version: int = 0
    wanted: dict[str, tuple[OrderKind, str]] = field(default_factory=dict)
    is_busy: bool = False
    is_asked: bool = False
    retry_at: Milliseconds = 0
    quiet_until: Milliseconds = 0

    @property
    def open_row(self) -> OrderRow | None:
        """The order whose outcome is not known, if any."""
        row = self.row
        return row if row and row.outcome == 'open' else None


class OutboxCore:
    """Carries out wishes as orders, one open order per target."""

    def __init__(
        self, scope: str, quiet_wait: Milliseconds = _DEFAULT_QUIET_WAIT
    ) -> None:
        """Create a core without authority.

        :param scope: scope of the lease; begins each order's identity.
        :param quiet_wait: longest time in milliseconds for which an order may
            still arrive after its connection was lost.
        """
        self._scope = scope
        self._quiet_wait = quiet_wait
        self._fence = 0
        self._fence_version = 0
        self._is_loaded = False
        self._is_loading = False
        self._targets: dict[str, _Target] = {}

    @property
    def has_open_orders(self) -> bool:
        """Whether the outcome of any order is unknown."""
        return any(target.open_row for target in self._targets.values())

    def get_row(self, target: str) -> OrderRow | None:
        """Return the last order of a target, None if there is none.

        :param target: name of the target.
        """
        known = self._targets.get(target)
        return known.row if known else None

    @singledispatchmethod
    def handle(
        self, event: OutboxEvent, now: Milliseconds
    ) -> list[OutboxAction]:
        """Take an event and return the actions that it calls for.

        :param event: what has happened.
        :param now: current instant.
        """
        raise NotImplementedError(type(event).__name__)

    @handle.register
    def _begin(
        self, event: TenureBegun, now: Milliseconds
    ) -> list[OutboxAction]:
        self._end(TenureEnded(), now)
        self._fence = event.fence
        self._fence_version = event.fence_version
        return []

    @handle.register
    def _end(self, event: TenureEnded, now: Milliseconds) -> list[OutboxAction]:
        self._fence_version = 0
        self._is_loaded = False
        self._is_loading = False
        self._targets.clear()
        return []

    @handle.register
    def _tick(self, event: OutboxTick, now: Milliseconds) -> list[OutboxAction]:
        if not self._fence_version:
            return []
        if not self._is_loaded:
            return self._load()
        return [
            action
            for name, target in self._targets.items()
            if target.fencing in event.allowed and not target.is_busy
            for action in self._advance(name, target, now)
        ]

    @handle.register
    def _want(
        self, event: OrderWanted, now: Milliseconds
    ) -> list[OutboxAction]:
        if not self._is_loaded:
            return []
        target = self._targets.setdefault(event.target, _Target(event.fencing))
        if not target.open_row:
            target.fencing = event.fencing
        subject = _get_subject(event.kind, event.argument)
        target.wanted[subject] = (event.kind, event.argument)
        return []

    @handle.register
    def _load_rows(
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
    def _note_recorded(
        self, event: OrderRecorded, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        if target is None:
            return []
        target.is_busy = False
        _keep_row(target, event.row, event.version)
        # A new order was never sent, so that its target need not be asked.
        target.is_asked = True
        return []

    @handle.register
    def _note_unrecorded(
        self, event: RecordFailed, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        if target:
            target.is_busy = False
            self._is_loaded = False
        return []

    @handle.register
    def _note_state(
        self, event: StateRead, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        row = target.open_row if target else None
        if target is None or row is None:
            return []
        target.is_busy = False
        if event.last_order != row.order_id:
            target.is_asked = True
            return []
        if event.is_changing or now < target.quiet_until:
            target.retry_at = now + _RETRY_INTERVAL
            return []
        return self._record(
            event.target, target, msgspec.structs.replace(row, outcome='done')
        )

    @handle.register
    def _note_silence(
        self, event: StateFailed, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        if target:
            target.is_busy = False
            target.retry_at = now + _RETRY_INTERVAL
        return []

    @handle.register
    def _note_answer(
        self, event: OrderAnswered, now: Milliseconds
    ) -> list[OutboxAction]:
        target = self._targets.get(event.target)
        row = target.open_row if target else None
        if target is None or row is None or row.order_id != event.order_id:
            return []
        target.is_busy = False
        target.is_asked = False
        if event.answer is OrderAnswer.LOST:
            target.quiet_until = now + self._quiet_wait
        if event.answer is OrderAnswer.REFUSED and now >= target.quiet_until:
            refused = msgspec.structs.replace(row, outcome='refused')
            return self._record(event.target, target, refused)
        if event.answer is not OrderAnswer.ACCEPTED:
            target.retry_at = now + _RETRY_INTERVAL
        return []

    def _load(self) -> list[OutboxAction]:
        if self._is_loading:
            return []
        self._is_loading = True
        return [ReadOrders()]

    def _load_row(self, name: str, row: OrderRow, version: int) -> None:
        target = self._targets.setdefault(name, _Target(row.fencing))
        if version > target.version:
            _keep_row(target, row, version)
            target.is_asked = False
        if target.open_row:
            target.fencing = row.fencing

    def _advance(
        self, name: str, target: _Target, now: Milliseconds
    ) -> list[OutboxAction]:
        if now < target.retry_at:
            return []
        row = target.open_row
        if row is None:
            return self._record_next(name, target, now)
        target.is_busy = True
        if target.is_asked:
            return [SendOrder(name, row, self._fence)]
        return [AskState(name, row.order_id)]

    def _record_next(
        self, name: str, target: _Target, now: Milliseconds
    ) -> list[OutboxAction]:
        if now < target.quiet_until:
            return []
        if not target.wanted:
            return []
        kind, argument = next(iter(target.wanted.values()))
        sequence = target.row.sequence + 1 if target.row else 1
        row = OrderRow(
            order_id=f'{self._scope}/{name}/{sequence}',
            sequence=sequence,
            kind=kind,
            argument=argument,
            fencing=target.fencing,
            fence=self._fence,
        )
        return self._record(name, target, row)

    def _record(
        self, name: str, target: _Target, row: OrderRow
    ) -> list[OutboxAction]:
        target.is_busy = True
        return [RecordOrder(name, row, target.version, self._fence_version)]


def _keep_row(target: _Target, row: OrderRow, version: int) -> None:
    """Take a row as it is stored; the wish that it carries is met."""
    target.row = row
    target.version = version
    subject = _get_subject(row.kind, row.argument)
    if target.wanted.get(subject) == (row.kind, row.argument):
        target.wanted.pop(subject)


def _get_subject(kind: OrderKind, argument: str) -> str:
    """Return what an order changes; a later wish for it replaces one."""
    if kind in _REPLACING_KINDS:
        return kind.value
    action, _, family = kind.value.partition('_')
    if family == 'endpoint':
        return f'{action} {argument}'
    return f'{family} {argument}'
