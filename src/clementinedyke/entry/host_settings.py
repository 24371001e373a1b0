"""Settings that the entry daemon reads from its host at the start."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.http.client import Address


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Guaranteed limits of the daemon; times in milliseconds.

    ``configuration_delay``: longest time from the acceptance of a new version
    until it is in force. ``drain_delay``: longest time for which a leaving
    endpoint still gets requests. ``stop_grace``: time from SIGTERM to SIGKILL.
    ``lease_duration``: time after which a lease expires unless it is renewed.
    ``usage_window``: length of a usage window. ``usage_delay``: longest time
    from the end of a window to its report. ``max_key_age``: keys that have not
    been confirmed for longer are refused; None if a daemon that has lost the
    store goes on serving.
    """

    configuration_delay: Milliseconds
    drain_delay: Milliseconds
    stop_grace: Milliseconds
    lease_duration: Milliseconds
    usage_window: Milliseconds
    usage_delay: Milliseconds
    retry_ratio: float
    retry_window: Milliseconds
    retry_allowance: float
    max_key_age: Milliseconds | None


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Addresses, limits and bounds of one host.

    ``peer_address`` is used for traffic between daemons. ``metrics_address``
    is None if no metrics are served. ``duties_address`` receives usage reports
    and orders of engines, None if the platform takes none. ``link_megabits``
    is the bandwidth of the host's link in Mbit/s.
    """

    host: str
    ip: str
    availability_zone: str
    caller_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address | None
    store_address: Address
    duties_address: Address | None
    memory_mb: int
    max_descriptors: int
    link_megabits: float
    bounds: ServiceBounds
