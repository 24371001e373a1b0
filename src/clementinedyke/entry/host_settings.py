"""What a daemon learns from its host when it starts."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.http.client import Address


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Promises that the daemon keeps; times in milliseconds.

    ``configuration_delay``: a new version is in force so long after it was
    accepted. ``drain_delay``: a leaving endpoint gets no request later than
    that. ``stop_grace``: from SIGTERM to SIGKILL. ``lease_duration``:
    authority lasts so long without renewal. ``usage_window``: length of a
    window; ``usage_delay``: a report is due so long after its end.
    ``max_key_age``: a key that was not confirmed for longer is refused, None
    where a daemon that is cut off goes on serving.
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

    ``peer_address`` is free for traffic between daemons. ``metrics_address``
    is None where no metrics are served. ``duties_address`` is
    where usage reports and orders of engines go, None if there are none.
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
    bounds: ServiceBounds
