"""Events and actions of the outbox core."""

from dataclasses import dataclass

from clementinedyke.leases.types import Fencing
from clementinedyke.orders.types import OrderAnswer, OrderKind, OrderRow


@dataclass(frozen=True, slots=True)
class StoredOrder:
    """A stored order row with its target and version."""

    target: str
    row: OrderRow
    version: int


@dataclass(frozen=True, slots=True)
class TenureBegun:
    """This process acquired the lease of the scope."""

    fence: int
    fence_version: int


@dataclass(frozen=True, slots=True)
class TenureEnded:
    """This process lost the lease of the scope or is releasing it."""


@dataclass(frozen=True, slots=True)
class OutboxTick:
    """Periodic tick.

    ``allowed``: fencing modes of the targets that may be sent orders.
    """

    allowed: frozenset[Fencing]


@dataclass(frozen=True, slots=True)
class OrderRequested:
    """A planner requested a change of a target."""

    target: str
    fencing: Fencing
    kind: OrderKind
    argument: str


@dataclass(frozen=True, slots=True)
class OrdersRead:
    """The order rows of the scope were read; None if the read failed."""

    orders: tuple[StoredOrder, ...] | None


@dataclass(frozen=True, slots=True)
class OrderRecorded:
    """An order row was written with this version."""

    target: str
    row: OrderRow
    version: int


@dataclass(frozen=True, slots=True)
class RecordFailed:
    """An order row was not written, or the answer was lost."""

    target: str


@dataclass(frozen=True, slots=True)
class StateRead:
    """A target returned its last order.

    ``is_changing``: the target is still executing that order.
    """

    target: str
    last_order: str | None
    is_changing: bool = False


@dataclass(frozen=True, slots=True)
class StateFailed:
    """The state of a target could not be read."""

    target: str


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """One attempt to send an order has ended."""

    target: str
    order_id: str
    answer: OrderAnswer


OutboxEvent = (
    TenureBegun
    | TenureEnded
    | OutboxTick
    | OrderRequested
    | OrdersRead
    | OrderRecorded
    | RecordFailed
    | StateRead
    | StateFailed
    | OrderAnswered
)


@dataclass(frozen=True, slots=True)
class ReadOrders:
    """Read the order rows of the scope."""


@dataclass(frozen=True, slots=True)
class RecordOrder:
    """Write an order row if its version and the fence row are unchanged."""

    target: str
    row: OrderRow
    version: int
    fence_version: int


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read the last order of a target."""

    target: str
    order_id: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send a recorded order with the fence of the current holder."""

    target: str
    row: OrderRow
    fence: int


OutboxAction = ReadOrders | RecordOrder | ReadState | SendOrder
