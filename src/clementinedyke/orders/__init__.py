"""Orders that are recorded before they are sent."""

from clementinedyke.orders.core import (
    OutboxCore,
)
from clementinedyke.orders.messages import (
    AskState,
    OrderAnswered,
    OrderRecorded,
    OrdersRead,
    OrderWanted,
    OutboxTick,
    ReadOrders,
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
    'AskState',
    'OrderAnswer',
    'OrderAnswered',
    'OrderKind',
    'OrderRecorded',
    'OrderRow',
    'OrderWanted',
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
