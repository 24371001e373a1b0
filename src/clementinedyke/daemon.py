"""Builds the application of an entry daemon."""

import os
import random
from functools import partial

import trio

from clementinedyke.admission_component import AdmissionComponent
from clementinedyke.application import Application
from clementinedyke.authority_component import AuthorityComponent
from clementinedyke.authority_peers import AuthorityPeers, AuthorityTiming
from clementinedyke.callers import (
    CallerHandler,
    ConnectionLimit,
    HandlerOptions,
)
from clementinedyke.callers.port import CallerPort, get_dispatch_limits
from clementinedyke.claim_component import ClaimComponent
from clementinedyke.clock import MonotonicClock
from clementinedyke.configuration_component import ConfigurationComponent
from clementinedyke.control_options import (
    compile_control_options,
    describe_member,
)
from clementinedyke.daemon_reports import DaemonReports
from clementinedyke.daemons import ControlComponent
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.endpoint_subset import find_member_share
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http_client import Address, HttpClient
from clementinedyke.operators import OperatorPort
from clementinedyke.platform.tables import TableClient
from clementinedyke.retry_planner import RetryPlanner
from clementinedyke.routing_component import RoutingComponent
from clementinedyke.settings import Settings

_READY_POLL_SECONDS = 0.02


class Daemon:
    """The components of an entry daemon and the application that runs them."""

    def __init__(
        self, settings: Settings, timing: AuthorityTiming | None = None
    ) -> None:
        """Build the daemon; nothing is opened yet.

        :param settings: validated settings.
        :param timing: durations of leases and usage windows; by default
            those that follow from the settings.
        """
        self._settings = settings
        self._clock = MonotonicClock()
        self._generator = random.Random(f'{settings.host_id}/{os.getpid()}')
        self._platform = HttpClient(Address.parse(settings.platform))
        self._tables = TableClient(self._platform)
        self.reports = DaemonReports()
        self._build_control()
        self._build_authority(timing or AuthorityTiming.compile(settings))
        self._build_requests()
        self._build_ports()
        self.reports.add_control(self.control, self.configuration)
        self.reports.add_endpoints(self.endpoints)
        # Drained in reverse: no new requests, no leases, leaving is announced.
        self.application = Application(
            [
                self.control,
                self.configuration,
                self.endpoints,
                self.authority,
                self.routing,
                self.admission,
                self.claims,
                self.caller_port,
                self.operator_port,
            ]
        )

    async def wait_until_ready(self) -> None:
        """Wait until the daemon has its configuration and endpoints."""
        while not self.reports.is_ready() or not self.routing.has_state():
            await trio.sleep(_READY_POLL_SECONDS)

    def _build_control(self) -> None:
        """Build what tells members, records and endpoints."""
        self.endpoints = EndpointRegistry()
        self.control = ControlComponent(
            partial(describe_member, self._settings),
            PlatformReader(self._platform),
            compile_control_options(self._settings),
            self._clock,
        )
        self.configuration = ConfigurationComponent(
            self.control, self.endpoints, self._clock
        )

    def _build_authority(self, timing: AuthorityTiming) -> None:
        """Build what is done under leases."""
        peers = AuthorityPeers(
            self._tables,
            self._platform,
            self.endpoints,
            self.configuration.get_directory,
            self._clock,
        )
        self.authority = AuthorityComponent(
            self.control, peers, timing, self._generator
        )

    def _build_requests(self) -> None:
        """Build the steps of a caller's request."""
        self.claims = ClaimComponent.connect(self._platform, self._clock)
        self.claims.count_daemons = self._count_daemons
        self.routing = RoutingComponent(
            self.endpoints,
            self._clock,
            self._settings.availability_zone,
            self._generator,
            partial(find_member_share, self.control),
        )
        self.admission = AdmissionComponent(
            self.routing.router,
            self._clock,
            self.configuration.get_directory,
            self.routing.subset.count_sharers,
        )

    def _build_ports(self) -> None:
        """Build the ports for callers and operators."""
        self._connection_limit = ConnectionLimit(
            self._settings.max_customer_connections
        )
        self.caller_port = CallerPort(
            self._settings, self._create_handler(), self._connection_limit
        )
        self.operator_port = OperatorPort(
            self._settings, self._tables, self.reports
        )

    def _create_handler(self) -> CallerHandler:
        options = HandlerOptions(
            admission=self.admission,
            selector=self.routing,
            limits=get_dispatch_limits(self._settings),
            clock=self._clock,
            retries=RetryPlanner(self._clock, self._generator),
            claims=self.claims,
            get_verdict=self.routing.get_verdict,
            connection_limit=self._connection_limit,
            count_daemons=self._count_daemons,
            region=self._settings.region,
            observe_outcome=self.reports.observe_outcome,
            observe_usage=self.authority.observe_usage,
        )
        return CallerHandler(self.configuration, self.endpoints, options)

    def _count_daemons(self) -> int:
        node = self.control.node
        if node is None:
            return 1
        return max(1, len(node.membership.view.table.list_ring()))
