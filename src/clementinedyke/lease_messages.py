"""Row, events and actions of the lease core."""

import enum
from dataclasses import dataclass

import msgspec

from clementinedyke.clock import Milliseconds


class Fencing(enum.Enum):
    """Whether a target refuses orders with an old fence."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of a lease in milliseconds.

    ``drift_factor`` bounds the ratio of the rates of two hosts' clocks.
    ``quiet_wait`` is the TCP user timeout of order connections.
    ``call_timeout`` is longer than the timeout of the table client.
    """

    duration: Milliseconds = 9000
    renew_interval: Milliseconds = 3000
    drift_factor: float = 1.1
    quiet_wait: Milliseconds = 5000
    call_timeout: Milliseconds = 2500
    host_interval: Milliseconds = 10000

    @property
    def bounded_quiet_wait(self) -> Milliseconds:
        """Quiet wait of a clock that may run fast."""
        return int(self.quiet_wait * self.drift_factor)


class Identity(msgspec.Struct, frozen=True):
    """One run of a process; its daemon address is bound already."""

    host: str
    address: str
    incarnation: str


class FormerHolder(msgspec.Struct, frozen=True):
    """A holder that lapsed without giving back its lease.

    ``proved`` is set once the end of the process is proved.
    """

    identity: Identity
    fence: int
    proved: bool = False


class LeaseRow(msgspec.Struct, frozen=True):
    """Value of a row of table ``leases``; ``duration`` in milliseconds."""

    holder: Identity | None
    fence: int
    count: int
    duration: int
    nonce: str
    unreleased: tuple[FormerHolder, ...] = ()


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
