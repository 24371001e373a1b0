"""Orders to targets, recorded in the platform before they are sent."""

from clementinedyke.orders.core import (
    OutboxCore,
)
from clementinedyke.orders.messages import (
    OrderAnswered,
    OrderRecorded,
    OrderRequested,
    OrdersRead,
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
from clementinedyke.orders.types import (
    OrderAnswer,
    OrderKind,
    OrderRow,
)

__all__ = (
    'ReadState',
    'OrderAnswer',
    'OrderAnswered',
    'OrderKind',
    'OrderRecorded',
    'OrderRow',
    'OrderRequested',
    'OrdersRead',
    'OutboxCore',
    'OutboxTick',
    'ReadOrders',
    'RecordFailed',
    'RecordOrder',
    'SendOrder',
    'StateFailed',
    'StateRead',
    'StoredOrder',
    'TenureBegun',
    'TenureEnded',
)
