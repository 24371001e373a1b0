"""Events and actions of the outbox core."""

from dataclasses import dataclass

from clementinedyke.leases.types import Fencing
from clementinedyke.orders.types import OrderAnswer, OrderKind, OrderRow


@dataclass(frozen=True, slots=True)
class StoredOrder:
    """An order row with its target and version."""

    target: str
    row: OrderRow
    version: int


@dataclass(frozen=True, slots=True)
class TenureBegun:
    """The lease of the scope was gained."""

    fence: int
    fence_version: int


@dataclass(frozen=True, slots=True)
class TenureEnded:
    """The lease of the scope was lost or is given back."""


@dataclass(frozen=True, slots=True)
class OutboxTick:
    """Time has passed; tells which targets the lease allows to order."""

    allowed: frozenset[Fencing]


@dataclass(frozen=True, slots=True)
class OrderRequested:
    """The planner wishes a change of a target."""

    target: str
    fencing: Fencing
    kind: OrderKind
    argument: str


@dataclass(frozen=True, slots=True)
class OrdersRead:
    """The order rows of the scope; None if the read failed."""

    orders: tuple[StoredOrder, ...] | None


@dataclass(frozen=True, slots=True)
class OrderRecorded:
    """A row was written with this version."""

    target: str
    row: OrderRow
    version: int


@dataclass(frozen=True, slots=True)
class RecordFailed:
    """A row was not written, or the answer was lost."""

    target: str


@dataclass(frozen=True, slots=True)
class StateRead:
    """A target's last order; ``is_changing`` while it carries it out."""

    target: str
    last_order: str | None
    is_changing: bool = False


@dataclass(frozen=True, slots=True)
class StateFailed:
    """A target did not tell its state."""

    target: str


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """One sending of an order has ended."""

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
    """Write a row if it has a version and the fence row is unchanged."""

    target: str
    row: OrderRow
    version: int
    fence_version: int


@dataclass(frozen=True, slots=True)
class ReadState:
    """Ask a target for its last order."""

    target: str
    order_id: str


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send a recorded order under the fence of the present holder."""

    target: str
    row: OrderRow
    fence: int


OutboxAction = ReadOrders | RecordOrder | ReadState | SendOrder
