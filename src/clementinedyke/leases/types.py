"""Row of a lease, its durations and the names of processes."""

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
    ``host_lag`` bounds the age of a reading of the host list.
    ``call_timeout`` is longer than the timeout of the table client.
    ``observes_anew``: after a failed call the row must be seen unchanged for
    the whole duration again, so that an outage of the store moves no lease.
    """

    duration: Milliseconds = 9000
    renew_interval: Milliseconds = 3000
    drift_factor: float = 1.1
    quiet_wait: Milliseconds = 5000
    call_timeout: Milliseconds = 2500
    host_interval: Milliseconds = 10000
    host_lag: Milliseconds = 60000
    restarts_observation: bool = False

    @property
    def bounded_quiet_wait(self) -> Milliseconds:
        """Quiet wait of a clock that may run fast."""
        return int(self.quiet_wait * self.drift_factor)

    @property
    def bounded_host_lag(self) -> Milliseconds:
        """Lag of the host list on a clock that may run fast."""
        return int(self.host_lag * self.drift_factor)


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
