"""Targets of one scope with their last order and requested changes."""

from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.types import Fencing
from clementinedyke.orders.messages import (
    OutboxAction,
    ReadOrders,
    ReadState,
    RecordOrder,
    SendOrder,
)
from clementinedyke.orders.types import OrderKind, OrderRow

RETRY_INTERVAL: Milliseconds = 500
_DEFAULT_QUIET_WAIT: Milliseconds = 5500
#: Kinds of which a target keeps only the most recent request.
_REPLACING_KINDS = frozenset((OrderKind.ROLE, OrderKind.VERSION))


@dataclass(slots=True)
class TargetEntry:
    """State of one target as known to the lease holder.

    ``requested`` holds the changes not recorded yet, by change key.
    ``is_call_pending`` is set from the action of a call until its event.
    ``is_sendable`` is set once the open order is known not to be the last one
    that the target received. No new order is recorded before ``quiet_until``,
    since an order whose connection was lost may arrive until then.
    """

    fencing: Fencing
    row: OrderRow | None = None
    version: int = 0
    requested: dict[str, tuple[OrderKind, str]] = field(default_factory=dict)
    is_call_pending: bool = False
    is_sendable: bool = False
    retry_at: Milliseconds = 0
    quiet_until: Milliseconds = 0

    @property
    def open_row(self) -> OrderRow | None:
        """The order whose outcome is unknown, None if there is none."""
        row = self.row
        return row if row and row.outcome == 'open' else None


class OrderBook:
    """Selects the next action for the order of each target."""

    def __init__(
        self, scope: str, quiet_wait: Milliseconds = _DEFAULT_QUIET_WAIT
    ) -> None:
        """Create a core that does not hold the lease.

        :param scope: scope of the lease, used as prefix of order identifiers.
        :param quiet_wait: maximum time in milliseconds until an order arrives
            after its connection was lost.
        """
        self._scope = scope
        self._quiet_wait = quiet_wait
        self._fence = 0
        self._fence_version = 0
        self._is_loaded = False
        self._is_loading = False
        self._targets: dict[str, TargetEntry] = {}

    @property
    def has_open_orders(self) -> bool:
        """Whether any target has an order with unknown outcome."""
        return any(target.open_row for target in self._targets.values())

    @property
    def is_loaded(self) -> bool:
        """Whether the orders were read in this tenure.

        Requests are ignored until then.
        """
        return self._is_loaded

    def get_row(self, target: str) -> OrderRow | None:
        """Return the last order of a target, None if there is none.

        :param target: name of the target.
        """
        known = self._targets.get(target)
        return known.row if known else None

    def list_rows(self) -> list[tuple[str, OrderRow]]:
        """Return name and last order of each target with one, by name."""
        return [
            (name, target.row)
            for name, target in sorted(self._targets.items())
            if target.row is not None
        ]

    def _load(self) -> list[OutboxAction]:
        if self._is_loading:
            return []
        self._is_loading = True
        return [ReadOrders()]

    def _load_row(self, name: str, row: OrderRow, version: int) -> None:
        target = self._targets.setdefault(name, TargetEntry(row.fencing))
        if version > target.version:
            apply_row(target, row, version)
            target.is_sendable = False
        if target.open_row:
            target.fencing = row.fencing

    def _advance(
        self, name: str, target: TargetEntry, now: Milliseconds
    ) -> list[OutboxAction]:
        if now < target.retry_at:
            return []
        row = target.open_row
        if row is None:
            return self._record_next(name, target, now)
        target.is_call_pending = True
        if target.is_sendable:
            return [SendOrder(name, row, self._fence)]
        return [ReadState(name, row.order_id)]

    def _record_next(
        self, name: str, target: TargetEntry, now: Milliseconds
    ) -> list[OutboxAction]:
        if now < target.quiet_until:
            return []
        if not target.requested:
            return []
        kind, argument = next(iter(target.requested.values()))
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
        self, name: str, target: TargetEntry, row: OrderRow
    ) -> list[OutboxAction]:
        target.is_call_pending = True
        return [RecordOrder(name, row, target.version, self._fence_version)]


def apply_row(target: TargetEntry, row: OrderRow, version: int) -> None:
    """Store a row as recorded and drop the request that it fulfils."""
    target.row = row
    target.version = version
    subject = get_change_key(row.kind, row.argument)
    if target.requested.get(subject) == (row.kind, row.argument):
        target.requested.pop(subject)


def get_change_key(kind: OrderKind, argument: str) -> str:
    """Return the key of a change; a later request replaces one of its key."""
    if kind in _REPLACING_KINDS:
        return kind.value
    action, _, family = kind.value.partition('_')
    if family == 'endpoint':
        return f'{action} {argument}'
    return f'{family} {argument}'
