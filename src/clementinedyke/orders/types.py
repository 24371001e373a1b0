"""Order rows, kinds of orders and results of sending them."""

import enum
from typing import Literal

import msgspec

from clementinedyke.leases.types import Fencing


class OrderKind(enum.Enum):
    """Change that an order makes to its target."""

    ROLE = 'role'
    VERSION = 'version'
    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    ORDER_ENDPOINT = 'order_endpoint'
    RETURN_ENDPOINT = 'return_endpoint'


class OrderAnswer(enum.Enum):
    """Result of one attempt to send an order."""

    #: The target accepted the order; the change may still be in progress.
    ACCEPTED = 'accepted'
    #: The target has seen a higher fence.
    STALE = 'stale'
    #: The target will never execute the order.
    REFUSED = 'refused'
    #: Nothing was sent.
    NOT_SENT = 'not_sent'
    #: The order may have arrived or may still arrive.
    LOST = 'lost'


class OrderRow(msgspec.Struct, frozen=True):
    """Row value of table ``orders``: the last order of one target.

    ``fence`` is the fence of the lease holder that recorded the order.
    """

    order_id: str
    sequence: int
    kind: OrderKind
    argument: str
    fencing: Fencing
    fence: int
    outcome: Literal['open', 'done', 'refused'] = 'open'
