"""Leases: time-limited authority of one process over a scope."""

from clementinedyke.leases.core import (
    LeaseCore,
)
from clementinedyke.leases.messages import (
    CloseOrders,
    DeathConfirmed,
    FenceRead,
    HostsRead,
    LeaseCallFailed,
    LeaseRead,
    LeaseTick,
    LeaseWritten,
    OrdersClosed,
    ReadFence,
    ReadHosts,
    ReadLease,
    StopRequested,
    WriteLease,
)
from clementinedyke.leases.types import (
    Fencing,
    FormerHolder,
    Identity,
    LeaseRow,
    LeaseTiming,
)

__all__ = (
    'CloseOrders',
    'DeathConfirmed',
    'FenceRead',
    'Fencing',
    'FormerHolder',
    'HostsRead',
    'Identity',
    'LeaseCallFailed',
    'LeaseCore',
    'LeaseRead',
    'LeaseRow',
    'LeaseTick',
    'LeaseTiming',
    'LeaseWritten',
    'OrdersClosed',
    'ReadFence',
    'ReadHosts',
    'ReadLease',
    'StopRequested',
    'WriteLease',
)
