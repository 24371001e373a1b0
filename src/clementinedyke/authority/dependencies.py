"""Dependencies and durations of the authority component."""

from collections.abc import Callable
from dataclasses import dataclass

from clementinedyke.authority.planner import PlannerSources
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.leases.types import LeaseTiming
from clementinedyke.records.directory import Directory
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.settings.core import Settings
from clementinedyke.usage.closing import WINDOW_LENGTH
from clementinedyke.usage.core import FLUSH_INTERVAL

_RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class AuthorityDependencies:
    """Clients, records and clock that the authority component uses.

    ``planning`` returns engines, endpoints and demand. ``get_directory``
    raises ``RequestError`` before the first configuration is received.
    """

    tables: TableClient
    platform: HttpClient
    planning: PlannerSources
    get_directory: Callable[[], Directory]
    clock: Clock

    @property
    def platform_address(self) -> Address:
        """Address of the endpoint interface and the usage interface."""
        return self.platform.address


@dataclass(frozen=True, slots=True)
class AuthorityTiming:
    """Durations of leases and of usage windows.

    ``flush_interval`` must be shorter than ``window_length``: a part that a
    closed window rejected is written again at the next flush, by when the
    following window must not be closed as well.
    """

    lease: LeaseTiming = LeaseTiming()
    window_length: Milliseconds = WINDOW_LENGTH
    flush_interval: Milliseconds = FLUSH_INTERVAL

    @classmethod
    def compile(cls, settings: Settings) -> 'AuthorityTiming':
        """Return the durations derived from the settings.

        :param settings: settings of the daemon.
        """
        duration = settings.lease_duration
        return cls(LeaseTiming(duration, duration // _RENEWALS_PER_LEASE))
