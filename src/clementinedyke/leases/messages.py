"""Events and actions of the lease core."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.types import LeaseRow


@dataclass(frozen=True, slots=True)
class LeaseTick:
    """Time has passed; ``is_candidate`` tells whether to seek the lease."""

    is_candidate: bool = True


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """The row was read; None and version 0 if it is absent."""

    row: LeaseRow | None
    version: int


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The write with this nonce was applied."""

    nonce: str
    revision: int


@dataclass(frozen=True, slots=True)
class FenceRead:
    """The fence row was read: a fence and the version that wrote it."""

    fence: int
    version: int


@dataclass(frozen=True, slots=True)
class LeaseCallFailed:
    """A read or write was refused, not done, or its answer was lost."""


@dataclass(frozen=True, slots=True)
class HostsRead:
    """The host list as answered to a call sent at ``asked_at``."""

    hosts: frozenset[str]
    asked_at: Milliseconds


@dataclass(frozen=True, slots=True)
class DeathConfirmed:
    """An operator's record confirms the end of a process."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class OrdersClosed:
    """No order of this process can reach a target any more."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process stops and gives the lease back."""


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
    """Read the row of the scope."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the row if it still has a version.

    ``raises_fence`` demands that the fence row is written in the same
    transaction.
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
    """Abort every order connection, then report :class:`OrdersClosed`."""


LeaseAction = ReadLease | WriteLease | ReadFence | ReadHosts | CloseOrders
