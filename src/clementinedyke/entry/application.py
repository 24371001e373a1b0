"""Builds the entry daemon of a host."""

import random
import time

from clementinedyke.application import Application
from clementinedyke.candidates import is_candidate
from clementinedyke.clock import BootClock
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.duties import DutyTools, create_duties
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.endpoint_work import WorkTable
from clementinedyke.entry.exchange import Exchange
from clementinedyke.entry.gateway import Gateway
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.intake import Intake
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.news import NewsBoard
from clementinedyke.entry.peers import PeerComponent, PeerIdentity
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.platform_parts import PlatformParts
from clementinedyke.entry.ports import CallerPort, Readiness
from clementinedyke.entry.retry_budget import RetryBudgets
from clementinedyke.entry.runners import RunnerTools
from clementinedyke.entry.sync_component import SyncComponent
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.wall_time import WallTime
from clementinedyke.entry.watch import TableReader, TableWatch

#: Longest wait of one feed call. Without other daemons it bounds the time in
#: which a silent connection is noticed; with them, their news tell of changes
#: that were missed, and each call costs money.
_FEED_WAIT_ALONE = 1500
_FEED_WAIT_EACH = 100
_MIN_FEED_WAIT = 3000
_MAX_FEED_WAIT = 8000
#: A daemon that was not heard for so long seeks no lease.
_CANDIDATE_SILENCE = 2500
_LOG_LINES_PER_SECOND = 200
_MAX_WAITING_LINES = 2000


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
        self._run_id = f'{settings.host}.{time.time_ns():x}'
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
        self._work = WorkTable()
        self._board = NewsBoard(settings.host)
        self._build_views()
        self._build_peers()
        self._build_requests()
        self._duties = create_duties(
            settings, platform, self._run_id, self._compile_duty_tools()
        )
        self.application = Application(
            [
                self._journal,
                *self._watches,
                self._peers,
                *self._duties,
                self._sync,
                self._readiness,
                self._caller_port,
            ]
        )

    @property
    def caller_port(self) -> int:
        """TCP port for callers, 0 before the start."""
        return self._caller_port.bound_port

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
                self._get_feed_wait,
                self._clock,
                self._journal,
                self._generator,
            )
            for table, reader in readers.items()
        ]

    def _build_peers(self) -> None:
        """Build what talks to the other daemons."""
        settings = self._settings
        self._peers = PeerComponent(
            PeerIdentity(
                settings.host,
                self._run_id,
                settings.peer_address,
            ),
            self._platform.store,
            self._board,
            self._work,
            (self._configuration, self._endpoints),
            (self._clock, self._journal, self._generator),
        )

    def _build_requests(self) -> None:
        """Build the path of a caller's request."""
        settings = self._settings
        placement = PlacementCore(settings.availability_zone, self._work)
        exchange = Exchange(self._platform.protocol, placement, self._clock)
        tools = RunnerTools(
            self._platform.protocol,
            placement,
            exchange,
            self._usage,
            self._clock,
            count_daemons=self._count_daemons,
            budgets=RetryBudgets(settings.bounds),
        )
        intake = Intake(
            self._configuration, settings.bounds.max_key_age, self._generator
        )
        gateway = Gateway(intake, tools, self._journal)
        self._readiness = Readiness(
            settings.ready_address, self._configuration, self._journal
        )
        self._caller_port = CallerPort(
            settings.caller_address,
            gateway,
            self._readiness,
            settings.bounds.stop_grace,
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

    def _compile_duty_tools(self) -> DutyTools:
        return DutyTools(
            clock=self._clock,
            journal=self._journal,
            generator=self._generator,
            wall_time=self._wall_time,
            usage=self._usage,
            configuration=self._configuration,
            endpoints=self._endpoints,
            is_candidate=self._may_lead,
            count_daemons=self._count_daemons,
            list_hosts=self._list_hosts,
        )

    def _may_lead(self, scope: str) -> bool:
        if self._readiness.is_leaving:
            return False
        heard = self._board.list_hosts(
            _CANDIDATE_SILENCE, self._clock.get_now()
        )
        return is_candidate(scope, self._settings.host, heard)

    def _get_feed_wait(self) -> int:
        heard = self._board.count_daemons(self._clock.get_now())
        if heard == 1:
            return _FEED_WAIT_ALONE
        return min(_MAX_FEED_WAIT, max(_MIN_FEED_WAIT, heard * _FEED_WAIT_EACH))

    def _list_hosts(self, age: int) -> frozenset[str]:
        """Return the hosts of the daemons that were heard of late."""
        return self._board.list_hosts(age, self._clock.get_now())

    def _count_daemons(self) -> int:
        heard = self._board.count_daemons(self._clock.get_now())
        # Right after a start none was heard yet, but the list was read.
        return max(heard, self._peers.known_daemons)
