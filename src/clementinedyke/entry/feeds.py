"""Feeds of the store's tables that a daemon follows or reads for others."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from clementinedyke.clock import Clock
from clementinedyke.entry.feed_exchange import FeedExchange
from clementinedyke.entry.feed_messages import FEED_PREFIX
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.platform_parts import PlatformParts
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import FeedPace, TableView, TableWatch


@dataclass(slots=True)
class Feeds:
    """Watches by table, their common pace, and the exchange between daemons."""

    settings: HostSettings
    count_daemons: Callable[[], int]
    clock: Clock
    journal: Journal
    watches: dict[str, TableWatch] = field(default_factory=dict)
    pace: FeedPace = field(init=False)

    def __post_init__(self) -> None:
        """Create the pace that all feeds share."""
        self.pace = FeedPace(self.count_daemons, self.settings.bounds)

    def add_watches(
        self,
        platform: PlatformParts,
        configuration: TableView,
        endpoints: TableView,
        generator: Random,
    ) -> None:
        """Create the watches of both tables.

        :param platform: store and names of its tables.
        :param configuration: view of the configuration's table.
        :param endpoints: view of the endpoints' table.
        :param generator: random generator for jitter.
        """
        views = {
            platform.configuration_table: configuration,
            platform.endpoints_table: endpoints,
        }
        for table, view in views.items():
            self.watches[table] = TableWatch(
                table,
                platform.store,
                view,
                self.pace,
                self.clock,
                self.journal,
                generator,
            )

    def create_exchange(
        self,
        network: PeerNetwork,
        contact: StoreContact,
        list_zones: Callable[[], dict[str, list[str]]],
        is_draining: Callable[[], bool],
    ) -> FeedExchange:
        """Return the exchange, connected to the watches and the network.

        :param network: socket and addresses of the other daemons.
        :param contact: answers of the store to all daemons.
        :param list_zones: returns the other daemons that take news, by zone.
        :param is_draining: returns whether this daemon is about to stop.
        """
        exchange = FeedExchange(
            self.settings.host,
            self.settings.availability_zone,
            network,
            self.watches,
            contact,
            self.clock,
            self.journal,
        )
        exchange.link_megabits = self.settings.link_megabits
        exchange.list_zones = list_zones
        exchange.is_draining = is_draining
        network.add_receiver(FEED_PREFIX, exchange.receive)
        self.pace.get_turn = exchange.get_turn
        for watch in self.watches.values():
            watch.is_followed = exchange.is_followed
            watch.publish = exchange.publish
        return exchange
