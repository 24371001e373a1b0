"""Lease row, lease durations and process identities."""

import enum
from dataclasses import dataclass

import msgspec

from clementinedyke.clock import Milliseconds


class Fencing(enum.Enum):
    """Whether a target rejects orders with an outdated fence."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of a lease in milliseconds.

    ``drift_factor`` is the maximum ratio between the clock rates of two hosts.
    ``quiet_wait`` is the TCP user timeout of order connections.
    ``host_lag`` is the maximum staleness of the host list.
    ``call_timeout`` must exceed the timeout of the table client.
    ``restarts_observation``: a failed call restarts the wait for the expiry of
    another holder's lease, so that a store outage does not move leases.
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
        """``quiet_wait`` in milliseconds, extended for a fast clock."""
        return int(self.quiet_wait * self.drift_factor)

    @property
    def bounded_host_lag(self) -> Milliseconds:
        """``host_lag`` in milliseconds, extended for a fast clock."""
        return int(self.host_lag * self.drift_factor)


class Identity(msgspec.Struct, frozen=True):
    """One run of a process, with the daemon address that it has bound."""

    host: str
    address: str
    incarnation: str


class FormerHolder(msgspec.Struct, frozen=True):
    """A holder whose lease expired without being released.

    ``proved`` is set once the process is known to have ended.
    """

    identity: Identity
    fence: int
    proved: bool = False


class LeaseRow(msgspec.Struct, frozen=True):
    """Row value of table ``leases``; ``duration`` is in milliseconds.

    ``count`` is 0 when the lease is acquired and grows by 1 per renewal.
    """

    holder: Identity | None
    fence: int
    count: int
    duration: int
    nonce: str
    unreleased: tuple[FormerHolder, ...] = ()
