"""Builds the entry daemon of a host."""

import random
import time

from clementinedyke.application import Application
from clementinedyke.clock import BootClock
from clementinedyke.components import Component
from clementinedyke.entry.capacity_plan import CapacityPlan, CapacityTargets
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.duty_lease import DUTIES_SCOPE, DutyLease
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.exchange import Exchange
from clementinedyke.entry.gateway import Gateway
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.intake import Intake
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.order_component import OrderComponent
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.platform_parts import PlatformParts
from clementinedyke.entry.ports import CallerPort, Readiness
from clementinedyke.entry.retry_budget import RetryBudget
from clementinedyke.entry.runners import RunnerTools
from clementinedyke.entry.stage_plan import StagePlan
from clementinedyke.entry.sync_component import SyncComponent
from clementinedyke.entry.usage_component import UsageComponent
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_duty import PartWriter, WindowCloser
from clementinedyke.entry.wall_time import WallTime
from clementinedyke.entry.watch import TableReader, TableWatch
from clementinedyke.handover import LapseHandover
from clementinedyke.lease_component import LeaseComponent
from clementinedyke.lease_types import Identity, LeaseTiming

#: Longest wait of one feed call: a connection that went silent is noticed
#: within this time and the slack of the client.
_FEED_WAIT = 1500
_LOG_LINES_PER_SECOND = 200
_MAX_WAITING_LINES = 2000
#: A key must have been confirmed within the bound of a new configuration and
#: what an unreachable store may stretch it by, less this margin.
_KEY_AGE_MARGIN = 600
_RENEWALS_PER_LEASE = 3
_CALL_TIMEOUT = 1600
_DRIFT_FACTOR = 1.1
_NEVER = 10**9
_DECODE_SHARE = 0.25
_TARGETS = CapacityTargets(per_zone=3, safe=4)


class EntryApplication:
    """The components of one daemon and the application that runs them."""

    def __init__(self, settings: HostSettings, platform: PlatformParts) -> None:
        """Build the daemon; nothing is opened yet.

        :param settings: what the host's settings say.
        :param platform: clients and translations of the platform.
        """
        self._settings = settings
        self._platform = platform
        self._clock = BootClock()
        started = time.time_ns()
        self._run_id = f'{settings.host}.{started:x}'
        self._generator = random.Random(self._run_id)
        self._journal = Journal(
            self._clock,
            settings.host,
            _LOG_LINES_PER_SECOND,
            _MAX_WAITING_LINES,
        )
        self._wall_time = WallTime(self._clock)
        self._usage = UsageCounter(
            self._wall_time, settings.bounds.usage_window
        )
        self._budgets: dict[str, RetryBudget] = {}
        self._build_views()
        self._build_requests()
        self.application = Application(
            [
                self._journal,
                *self._watches,
                *self._build_duties(),
                self._sync,
                self._readiness,
                self._caller_port,
            ]
        )

    def _build_views(self) -> None:
        """Build what follows the store's tables."""
        platform = self._platform
        self._configuration = ConfigurationView(
            platform.configuration_key,
            platform.decode_configuration,
            self._journal,
        )
        self._endpoints = EndpointView(
            platform.decode_endpoint,
            self._settings.bounds.drain_delay,
            self._journal,
        )
        readers: dict[str, TableReader] = {
            platform.configuration_table: self._configuration,
            platform.endpoints_table: self._endpoints,
        }
        self._watches = [
            TableWatch(
                table,
                platform.store,
                reader,
                _FEED_WAIT,
                self._clock,
                self._journal,
                self._generator,
            )
            for table, reader in readers.items()
        ]

    def _build_requests(self) -> None:
        """Build the path of a caller's request."""
        settings = self._settings
        bounds = settings.bounds
        placement = PlacementCore(settings.availability_zone)
        exchange = Exchange(self._platform.protocol, placement, self._clock)
        tools = RunnerTools(
            self._platform.protocol,
            placement,
            exchange,
            self._usage,
            self._clock,
            count_daemons=self._count_daemons,
            get_budget=self._get_budget,
        )
        max_age = bounds.configuration_delay + bounds.store_grace
        intake = Intake(
            self._configuration, max_age - _KEY_AGE_MARGIN, self._generator
        )
        gateway = Gateway(intake, tools, self._journal)
        self._readiness = Readiness(
            settings.ready_address, self._configuration, self._journal
        )
        self._caller_port = CallerPort(
            settings.caller_address,
            gateway,
            self._readiness,
            bounds.stop_grace,
            settings.max_descriptors,
        )
        self._sync = SyncComponent(
            self._configuration,
            self._endpoints,
            placement,
            exchange,
            self._caller_port,
            self._clock,
        )

    def _build_duties(self) -> list[Component]:
        """Build what one daemon at a time does."""
        platform = self._platform
        if platform.duties is None:
            return []
        settings = self._settings
        duration = settings.bounds.lease_duration
        identity = Identity(
            settings.host, str(settings.caller_address), self._run_id
        )
        timing = LeaseTiming(
            duration=duration,
            renew_interval=duration // _RENEWALS_PER_LEASE,
            drift_factor=_DRIFT_FACTOR,
            call_timeout=_CALL_TIMEOUT,
            host_interval=_NEVER,
        )
        leases = LeaseComponent(
            identity,
            platform.store,
            platform.hosts,
            self._clock,
            self._generator,
            is_candidate=lambda scope: not self._readiness.is_leaving,
            timing=timing,
            handover=LapseHandover(identity, 0, 0),
        )
        core = leases.add_scope(DUTIES_SCOPE)
        lease = DutyLease(core, settings.host, self._clock, duration)
        closer = WindowCloser(
            platform.store, platform.duties, self._usage, self._journal
        )
        usage = UsageComponent(
            lease,
            PartWriter(platform.store, self._usage, self._run_id),
            closer,
            self._wall_time,
            settings.bounds.usage_window,
        )
        orders = OrderComponent(
            lease,
            (self._configuration, self._endpoints),
            (CapacityPlan(_TARGETS), StagePlan(_DECODE_SHARE)),
            platform.duties,
            self._clock,
            self._journal,
        )
        return [leases, usage, orders]

    def _count_daemons(self) -> int:
        return max(7, 1)

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = RetryBudget(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_allowance
            )
            self._budgets[service] = budget
        return budget

