"""Builds the application of an entry daemon."""

import os
import random
from functools import partial

import trio

from clementinedyke.application import Application
from clementinedyke.authority.component import AuthorityComponent
from clementinedyke.authority.dependencies import (
    AuthorityDependencies,
    AuthorityTiming,
)
from clementinedyke.callers.port import CallerPort, create_memory_account
from clementinedyke.clock import MonotonicClock
from clementinedyke.configuration.component import ConfigurationComponent
from clementinedyke.control.daemon_reports import DaemonReports
from clementinedyke.control.options import (
    compile_control_options,
    create_member,
)
from clementinedyke.daemons import ControlComponent
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.operators import OperatorPort
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.request_path import RequestPath
from clementinedyke.settings.core import Settings

_READY_POLL_SECONDS = 0.02


class Daemon:
    """The components of an entry daemon and the application that runs them."""

    def __init__(
        self, settings: Settings, timing: AuthorityTiming | None = None
    ) -> None:
        """Build the daemon; ``application.run`` opens its ports.

        :param settings: validated settings.
        :param timing: durations of leases and usage windows, by default
            derived from the settings.
        """
        self._settings = settings
        self._clock = MonotonicClock()
        self._generator = random.Random(f'{settings.host_id}/{os.getpid()}')
        self._platform = HttpClient(Address.parse(settings.platform))
        self._tables = TableClient(self._platform)
        self.reports = DaemonReports()
        self._build_control()
        self._build_requests()
        self._build_authority(timing or AuthorityTiming.compile(settings))
        self._build_ports()
        self.reports.add_control(self.control, self.configuration)
        self.reports.add_endpoints(self.endpoints)
        self.reports.add_authority(self.authority, self._clock)
        # Drained in reverse order: the ports first, so that no new requests
        # arrive, then the leases, and last the daemon announces its leave.
        self.application = Application(
            [
                self.control,
                self.configuration,
                self.endpoints,
                self.authority,
                *self.requests.components,
                self.caller_port,
                self.operator_port,
            ]
        )

    async def wait_until_ready(self) -> None:
        """Wait until the daemon has received configuration and endpoints."""
        routing = self.requests.routing
        while not self.reports.is_ready() or not routing.has_endpoints():
            await trio.sleep(_READY_POLL_SECONDS)

    def _build_control(self) -> None:
        """Build the sources of members, records and endpoints."""
        self.endpoints = EndpointRegistry()
        self.control = ControlComponent(
            partial(create_member, self._settings),
            PlatformReader(self._platform),
            compile_control_options(self._settings),
            self._clock,
        )
        self.configuration = ConfigurationComponent(
            self.control, self.endpoints, self._clock
        )

    def _build_requests(self) -> None:
        """Build the components that process callers' requests."""
        self.requests = RequestPath(
            self._settings,
            self.control,
            self.configuration,
            self.endpoints,
            self._platform,
            self._clock,
            self._generator,
        )

    def _build_authority(self, timing: AuthorityTiming) -> None:
        """Build the component that acts under leases."""
        authority_dependencies = AuthorityDependencies(
            self._tables,
            self._platform,
            self.requests.planner_sources,
            self.configuration.get_directory,
            self._clock,
        )
        self.authority = AuthorityComponent(
            self.control, authority_dependencies, timing, self._generator
        )

    def _build_ports(self) -> None:
        """Build the ports for callers and operators."""
        handler = self.requests.create_handler(
            self.reports.observe_outcome, self.authority.observe_usage
        )
        memory = create_memory_account(self._settings)
        self.reports.metrics.registry.register(memory)
        self.caller_port = CallerPort(
            self._settings, handler, self.requests.connection_limit, memory
        )
        self.operator_port = OperatorPort(
            self._settings, self._tables, self.reports, memory
        )
