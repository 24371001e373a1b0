"""Events and actions of the lease core."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.types import LeaseRow


@dataclass(frozen=True, slots=True)
class LeaseTick:
    """Periodic tick; ``is_candidate`` allows acquiring the lease."""

    is_candidate: bool = True


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """The lease row was read; ``row`` None and version 0 if it is absent.

    ``era`` is that of the store, which rises when it returns from a copy.
    """

    row: LeaseRow | None
    version: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The write with this nonce was applied at ``revision``."""

    nonce: str
    revision: int


@dataclass(frozen=True, slots=True)
class FenceRead:
    """The fence row was read: its fence and its version."""

    fence: int
    version: int


@dataclass(frozen=True, slots=True)
class LeaseCallFailed:
    """A call was rejected or not executed, or its answer was lost."""


@dataclass(frozen=True, slots=True)
class HostsRead:
    """The host list was read by a request sent at ``asked_at``."""

    hosts: frozenset[str]
    asked_at: Milliseconds


@dataclass(frozen=True, slots=True)
class DeathConfirmed:
    """An operator confirmed that a process has ended."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class OrdersClosed:
    """No order of this process can still reach a target."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is stopping and must release the lease."""


LeaseEvent = (
    LeaseTick
    | LeaseRead
    | LeaseWritten
    | FenceRead
    | LeaseCallFailed
    | HostsRead
    | DeathConfirmed
    | OrdersClosed
    | StopRequested
)


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease row of the scope."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease row if the stored row still has ``version``.

    ``raises_fence`` requires writing the fence row in the same transaction.
    """

    row: LeaseRow
    version: int
    raises_fence: bool


@dataclass(frozen=True, slots=True)
class ReadFence:
    """Read the fence row of the scope."""


@dataclass(frozen=True, slots=True)
class ReadHosts:
    """Read the platform's host list."""


@dataclass(frozen=True, slots=True)
class CloseOrders:
    """Abort all order connections, then report :class:`OrdersClosed`."""


LeaseAction = ReadLease | WriteLease | ReadFence | ReadHosts | CloseOrders
