"""Assembles the entry daemon of a host from its components."""

import random
import time

from clementinedyke.application import Application
from clementinedyke.clock import BootClock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.duties import DutyDependencies, create_duties
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.endpoint_work import WorkTable
from clementinedyke.entry.feeds import Feeds
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.news import PeerTable
from clementinedyke.entry.observation import (
    ObservedParts,
    create_metrics_port,
)
from clementinedyke.entry.peers import PeerComponent, PeerIdentity
from clementinedyke.entry.platform_parts import PlatformParts
from clementinedyke.entry.ports import (
    CallerPort,
    Readiness,
    create_memory_account,
    get_max_connections,
    get_peer_server,
)
from clementinedyke.entry.recovery import RecoveryComponent
from clementinedyke.entry.request_path import (
    RequestPathContext,
    create_request_path,
)
from clementinedyke.entry.store_calls import StoreCallLog
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.sync_component import SyncComponent
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.wall_time import WallTime
from clementinedyke.leases.candidates import is_candidate

#: Daemons that sent no update within this time are not lease candidates. With
#: 72 daemons each sends an update every 1.2 s; one lost datagram is tolerated.
_MAX_CANDIDATE_UPDATE_AGE: Milliseconds = 2500
#: A daemon of the largest site completes about 10 requests per second and
#: logs one line for each. Lines have up to 1000 bytes, so this limit keeps the
#: log below 200 KB/s.
_LOG_LINES_PER_SECOND = 200
#: Log lines queued for standard output: 10 s at the full rate, up to 2 MB.
_MAX_QUEUED_LINES = 2000


class EntryApplication:
    """Creates the components of a daemon and the application that runs them."""

    def __init__(self, settings: HostSettings, platform: PlatformParts) -> None:
        """Build all components without opening any socket.

        :param settings: settings of the host.
        :param platform: clients and decoders of the platform.
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
            _MAX_QUEUED_LINES,
        )
        self._store_contact = StoreContact()
        self._store_calls = StoreCallLog(
            self._store_contact, self._clock, self._journal
        )
        platform.store.record_call = self._store_calls.record_call
        platform.store.observe_losses(self._store_calls.record_loss)
        self._wall_time = WallTime(self._clock)
        self._usage = UsageCounter(
            self._wall_time, settings.bounds.usage_window
        )
        #: Account of what callers and other daemons make the process hold.
        self.memory = create_memory_account(settings, self._journal)
        self._work = WorkTable()
        self._peer_table = PeerTable(settings.host)
        self._build_views()
        self._build_requests()
        self._build_peers()
        self._feed_exchange = self._feeds.create_exchange(
            self._network,
            self._store_contact,
            self._list_zones,
            self._readiness.get_draining,
        )
        self._peers.is_followed = self._feed_exchange.is_followed
        self._duties = create_duties(
            settings, platform, self._run_id, self._compile_duty_tools()
        )
        self.application = Application(
            [
                self._journal,
                *self._build_metrics(),
                *self._feeds.watches.values(),
                self._links.monitor,
                self._suspect_component,
                self._peers,
                self._handover,
                self._feed_exchange,
                self._recovery,
                *self._duties,
                self._sync,
                self._readiness,
                self._caller_port,
            ]
        )

    @property
    def caller_port(self) -> int:
        """TCP port bound for callers, 0 before the start."""
        return self._caller_port.bound_port

    def log_settings_reload(
        self, settings: HostSettings | None, reason: str
    ) -> None:
        """Log the result of reading the host's settings again.

        The new settings are not applied: addresses and bounds stay as they
        were at the start of the process. The platform restarts a process whose
        location has changed.

        :param settings: settings in the file, None if they are invalid.
        :param reason: why the settings are invalid.
        """
        outcome = 'unchanged' if settings == self._settings else 'changed'
        self._journal.write(
            'settings_read',
            outcome='unusable' if settings is None else outcome,
            reason=reason,
        )

    def _build_views(self) -> None:
        """Build the views of the store's tables and their watches."""
        platform = self._platform
        self._feeds = Feeds(
            self._settings,
            lambda: len(self._peers.list_active()),
            self._clock,
            self._journal,
        )
        self._configuration = ConfigurationView(
            platform.configuration_key,
            platform.decode_configuration,
            self._journal,
        )
        self._endpoints = EndpointView(
            platform.decode_endpoint,
            self._settings.bounds.drain_delay,
            self._feeds.pace.get_pause,
            self._store_contact,
            self._journal,
        )
        self._endpoints.get_services = self._configuration.get_services
        self._feeds.add_watches(
            platform,
            self._configuration,
            self._endpoints,
            self._generator,
        )

    def _build_peers(self) -> None:
        """Build the component that exchanges state with the other daemons."""
        settings = self._settings
        self._peers = PeerComponent(
            PeerIdentity(
                settings.host,
                self._run_id,
                settings.peer_address,
                settings.availability_zone,
                settings.link_megabits,
            ),
            (self._network, self._platform.store),
            self._peer_table,
            self._exchanged_state,
            (self._clock, self._journal, self._generator),
            get_peer_server(self.memory),
        )
        table = self._platform.configuration_table
        self._peers.configuration_feed = self._feeds.watches[table]
        self._peers.configuration_place = (
            table,
            self._platform.configuration_key,
        )
        self._versions.list_active = self._peers.list_active
        self._peer_table.start_observers.append(self._handover.record_start)
        self._exchanged_state.notices.limits.list_hosts = (
            self._peers.list_active
        )
        self._links.relays.list_relays = self._list_relays
        self._links.monitor.announce = self._peers.announce
        self._readiness.announce = self._peers.announce
        self._recovery = RecoveryComponent(
            self._peer_table,
            (self._configuration, self._endpoints),
            (
                self._feeds.watches[self._platform.configuration_table],
                self._feeds.watches[self._platform.endpoints_table],
            ),
            self._peers.fetch_state,
            self._clock,
            self._generator,
        )

    def _build_requests(self) -> None:
        """Build the components that process requests of callers."""
        settings = self._settings
        path = create_request_path(
            settings,
            self._configuration,
            self._work,
            RequestPathContext(
                self._usage,
                self._clock,
                self._journal,
                self._generator,
                self._count_daemons,
                self._has_infrequent_updates,
                self._platform,
                self._endpoints,
                self._store_contact,
            ),
        )
        self._network = path.network
        self._versions = path.versions
        self._handover = path.handover
        self._links = path.links
        self._exchanged_state = path.exchanged_state
        self._gateway = path.gateway
        self._suspect_component = path.suspect_component
        self._suspect_component.get_unix = self._wall_time.get_unix
        watch = self._feeds.watches[self._platform.endpoints_table]
        watch.return_observers.append(self._suspect_component.record_return)
        self._readiness = Readiness(
            settings.ready_address,
            self._configuration,
            self._journal,
            self.memory,
        )
        self._caller_port = CallerPort(
            settings.caller_address,
            path.gateway,
            self._readiness,
            settings.bounds.stop_grace,
            get_max_connections(settings),
            self.memory,
        )
        path.links.relay_port.is_draining = self._readiness.get_draining
        self._caller_port.drain_relays = path.links.relay_port.drain
        self._sync = SyncComponent(
            self._configuration,
            self._endpoints,
            path.placement,
            path.links.transport,
            self._caller_port,
            (
                path.suspect_component.suspects.record_endpoints,
                self._versions.history.record_endpoints,
            ),
            self._clock,
        )
        path.gateway.process_messages = self._process_messages

    async def _process_messages(self) -> None:
        """Act on the messages of other daemons that have arrived."""
        if await self._network.process_waiting():
            self._sync.update()

    def _build_metrics(self) -> list[Component]:
        return create_metrics_port(
            self._settings.metrics_address,
            self._gateway,
            self.memory,
            ObservedParts(
                self._clock,
                self._configuration,
                self._endpoints,
                self._journal,
                self._peer_table,
                self._duties,
                (
                    self._store_calls,
                    self._peers.lending_counts,
                    self._suspect_component.counts,
                    self._links.relay_port.counts,
                    self._feed_exchange.counts,
                    self._versions.counts,
                ),
            ),
        )

    def _compile_duty_tools(self) -> DutyDependencies:
        return DutyDependencies(
            clock=self._clock,
            journal=self._journal,
            generator=self._generator,
            wall_time=self._wall_time,
            usage=self._usage,
            configuration=self._configuration,
            endpoints=self._endpoints,
            work=self._work,
            pauses=self._exchanged_state.notices.pauses,
            is_candidate=self._is_lease_candidate,
            count_daemons=self._count_daemons,
            list_hosts=self._list_hosts,
            network=self._network,
            select_collector=self._feed_exchange.select_collector,
        )

    def _is_lease_candidate(self, scope: str) -> bool:
        if self._readiness.is_draining or self._links.path.is_lost:
            return False
        # Updates of hundreds of daemons come too rarely to tell who is alive,
        # but readers hear one another several times a second.
        active = self._feed_exchange.list_readers()
        if not active:
            active = self._peer_table.list_hosts(
                _MAX_CANDIDATE_UPDATE_AGE, self._clock.get_now()
            )
        return is_candidate(scope, self._settings.host, active)

    def _list_relays(self) -> frozenset[str]:
        return self._peer_table.list_relays(
            self._peers.active_age, self._clock.get_now()
        )

    def _list_zones(self) -> dict[str, list[str]]:
        return self._peer_table.list_zones(
            self._peers.active_age, self._clock.get_now()
        )

    def _list_hosts(self, age: int) -> frozenset[str]:
        """Return the hosts whose last update is at most ``age`` ms old."""
        return self._peer_table.list_hosts(age, self._clock.get_now())

    def _has_infrequent_updates(self) -> bool:
        return self._peers.has_infrequent_updates()

    def _count_active_daemons(self) -> int:
        return self._peer_table.count_daemons(self._clock.get_now())

    def _count_daemons(self) -> int:
        active = self._count_active_daemons()
        # Right after the start no updates have arrived yet, but the list of
        # daemons has already been read from the store.
        return max(active, self._peers.daemon_count)
