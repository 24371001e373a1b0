"""Passes the store's changes on between the daemons.

A few daemons of each availability zone read the store for the others. They
tell the readers of the other zones what changed, so that a zone whose readers
lose the store still learns of it.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

import msgspec
import trio
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.feed_messages import (
    FeedNews,
    TableNews,
    decode_news,
    encode_news,
)
from clementinedyke.entry.feed_readers import HEARTBEAT, ReaderElection
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.lending import BYTES_PER_MILLISECOND
from clementinedyke.entry.peer_network import DatagramNetwork
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import ReaderTurn
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address
from clementinedyke.tasks import run_restarting

_MILLISECONDS_PER_SECOND = 1000
_HASH_BYTES = 8
#: Largest datagram that is sent. News that need more are announced only, and
#: the daemons read the store themselves.
_MAX_DATAGRAM = 60000
#: Datagrams above this size are sent one by one: a burst to all daemons of a
#: zone is longer than the queue of a link, and those that get none read the
#: store.
_PACED_SIZE = 2000
#: Share of the link that paced datagrams take, and the time after which no more
#: are sent: heartbeats have told the daemons by then that they missed a change.
_LINK_SHARE = 0.5
_PACED_TIME: Milliseconds = 300
#: A reader tells the expected readers of the other zones of itself once in this
#: many heartbeats, also if it has not heard from them.
_GREETING_INTERVAL = 8


class FollowedTable(Protocol):
    """Feed of a table that other daemons may read for this one."""

    @property
    def is_failing(self) -> bool:
        """Whether several calls in a row have failed."""

    @property
    def failed_at(self) -> Milliseconds | None:
        """Instant of the last such failure, None if there was none."""

    def compile_news(self, now: Milliseconds) -> TableNews | None:
        """Return the known revision, None before the first read."""

    def apply_news(self, news: TableNews, now: Milliseconds) -> bool:
        """Apply changes; return whether they were new."""

    def record_failure(self, instant: Milliseconds) -> None:
        """Record that the feed failed at another daemon."""


class FeedCounts(Collector):
    """Messages between readers and the daemons that follow them."""

    def __init__(self) -> None:
        """Create all counts at zero."""
        self._messages: Counter[str] = Counter()

    def record_message(self, kind: str, count: int = 1) -> None:
        """Count messages.

        :param kind: ``sent`` or ``received``.
        :param count: number of messages.
        """
        self._messages[kind] += count

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counts to the metrics registry."""
        family = CounterMetricFamily(
            'clementinedyke_entry_feed_messages',
            'Datagrams with changes of the store, by direction.',
            labels=('direction',),
        )
        for kind, count in self._messages.items():
            family.add_metric((kind,), count)
        yield family


class FeedExchange(Component):
    """Sends what this daemon reads, and applies what others have read."""

    def __init__(
        self,
        host: str,
        zone: str,
        network: DatagramNetwork,
        tables: Mapping[str, FollowedTable],
        contact: StoreContact,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Create an exchange in which every daemon reads for itself.

        :param host: name of this host.
        :param zone: availability zone of this host.
        :param network: socket and addresses of the other daemons.
        :param tables: feeds by name of the table.
        :param contact: answers of the store to all daemons.
        :param clock: clock of the host.
        :param journal: log of the daemon's role and of applied changes.
        """
        self._host = host
        self._zone = zone
        self._network = network
        self._tables = tables
        self._contact = contact
        self._clock = clock
        self._journal = journal
        self._election = ReaderElection(host, zone)
        self._role = 'reads'
        self._rounds = 0
        self._unsent: list[tuple[TableNews, bool]] = []
        self._has_unsent = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.counts = FeedCounts()
        #: Bandwidth of the host's link in Mbit/s.
        self.link_megabits = math.inf
        #: Returns the active daemons that take news, by availability zone.
        self.list_zones: Callable[[], dict[str, list[str]]] = dict
        #: Returns whether this daemon is about to stop.
        self.is_draining: Callable[[], bool] = bool

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks.

        :param nursery: nursery that runs the tasks.
        """
        self._nursery = nursery
        nursery.start_soon(
            run_restarting, self._run_heartbeats, 'feed_exchange.heartbeats'
        )
        nursery.start_soon(
            run_restarting, self._run_sender, 'feed_exchange.sender'
        )

    def is_followed(self) -> bool:
        """Return whether another daemon reads the store for this one."""
        now = self._clock.get_now()
        return not self._election.is_reader and self._election.has_reader(now)

    def is_reader(self) -> bool:
        """Return whether this daemon reads the store for others."""
        return self._election.is_reader

    def get_turn(self) -> ReaderTurn | None:
        """Return the place of this daemon among all readers.

        None if it reads for itself only.
        """
        if not self._election.is_reader:
            return None
        readers = sorted(self.list_readers())
        return ReaderTurn(readers.index(self._host), len(readers))

    def list_readers(self) -> frozenset[str]:
        """Return the hosts of all readers, this one included if it is one."""
        readers = self._election.list_readers(self._clock.get_now())
        if self._election.is_reader:
            readers.add(self._host)
        return frozenset(readers)

    def select_collector(self) -> str | None:
        """Return the reader that writes for its zone, None without readers."""
        return self._election.select_first(self._clock.get_now())

    def publish(self, news: TableNews) -> None:
        """Pass on what the store has answered, if this daemon is a reader.

        :param news: changes of a table, or a confirmation without rows.
        """
        if self._election.is_reader:
            self._queue(news, is_own=True)

    async def receive(self, datagram: bytes, sender: Address) -> None:
        """Process a message of a reader.

        :param datagram: bytes with the prefix of these messages.
        :param sender: address of the reader, which the message names by host.
        """
        try:
            message = decode_news(datagram)
        except ProtocolError as error:
            self._journal.write('news_unreadable', error=str(error))
            return
        if message.host == self._host:
            return
        self.counts.record_message('received')
        self._apply(message)
        if self._is_greeting(message, sender):
            await self._forward(datagram)

    def _is_greeting(self, message: FeedNews, sender: Address) -> bool:
        """Return whether a reader takes this daemon for one of its zone.

        Only what comes from the reader itself is passed on, so that two daemons
        that take each other for readers don't send it to and fro.
        """
        is_direct = self._network.addresses.get(message.host) == sender
        is_far = message.is_reader and message.zone != self._zone
        return is_direct and is_far and not self._election.is_reader

    async def _forward(self, datagram: bytes) -> None:
        """Pass a greeting on to the readers of this zone.

        Readers that have replaced others would not hear of one another.
        """
        known = self._network.addresses
        hosts = self._list_zone_readers(self._clock.get_now())
        addresses = [known[host] for host in hosts if host in known]
        self.counts.record_message('sent', len(addresses))
        await self._network.send(datagram, addresses)

    def _apply(self, message: FeedNews) -> None:
        now = self._clock.get_now()
        if message.is_reader:
            self._election.record_reader(message.host, message.zone, now)
        else:
            self._election.record_end(message.host)
        if message.store_age >= 0:
            self._contact.record_remote_answer(now - message.store_age)
        for news in message.tables:
            table = self._tables.get(news.table)
            if table is None:
                continue
            if message.failure_age >= 0:
                table.record_failure(now - message.failure_age)
            if table.apply_news(news, now) and news.rows:
                self._record_applied(message, news)

    def _record_applied(self, message: FeedNews, news: TableNews) -> None:
        self._journal.write(
            'feed_news_applied',
            table=news.table,
            reader=message.host,
            revision=news.revision,
            rows=len(news.rows),
            age_ms=news.age,
        )
        # The other daemons of a zone hear its own readers only.
        if self._election.is_reader and message.zone != self._zone:
            self._queue(news, is_own=False)

    def _queue(self, news: TableNews, *, is_own: bool) -> None:
        self._unsent.append((news, is_own))
        self._has_unsent.set()

    async def _run_sender(self) -> None:
        while True:
            await self._has_unsent.wait()
            self._has_unsent = trio.Event()
            unsent = self._unsent
            self._unsent = []
            for news, is_own in unsent:
                await self._send([news], self._list_targets(is_own=is_own))

    async def _run_heartbeats(self) -> None:
        while True:
            await trio.sleep(HEARTBEAT / _MILLISECONDS_PER_SECOND)
            was_reader = self._election.is_reader
            self._update_role()
            if self._election.is_reader or was_reader:
                await self._send_heartbeat()

    def _update_role(self) -> None:
        now = self._clock.get_now()
        zones = self.list_zones()
        may_read = not self.is_draining() and not any(
            table.is_failing or table.compile_news(now) is None
            for table in self._tables.values()
        )
        is_reader = self._election.update(
            zones.get(self._zone, ()),
            1 + sum(map(len, zones.values())),
            now,
            may_read=may_read,
        )
        role = 'reads'
        if is_reader:
            role = 'reads for others'
        elif self._election.has_reader(now):
            role = 'follows'
        if role != self._role:
            self._role = role
            self._journal.write(
                'feed_role', role=role, readers=self._list_zone_readers(now)
            )

    def _list_zone_readers(self, now: Milliseconds) -> list[str]:
        members = self.list_zones().get(self._zone, ())
        return sorted(self._election.list_readers(now).intersection(members))

    async def _send_heartbeat(self) -> None:
        now = self._clock.get_now()
        known = [table.compile_news(now) for table in self._tables.values()]
        hosts = self._list_targets(is_own=True)
        self._rounds += 1
        if self._rounds % _GREETING_INTERVAL == 1:
            hosts |= self._election.select_expected(self.list_zones())
        await self._send([news for news in known if news is not None], hosts)

    def _list_targets(self, *, is_own: bool) -> set[str]:
        """Return the daemons of the zone, and other readers for own news."""
        targets = set(self.list_zones().get(self._zone, ()))
        if is_own:
            targets |= self._election.list_readers(self._clock.get_now())
        return targets

    async def _send(self, tables: list[TableNews], hosts: set[str]) -> None:
        now = self._clock.get_now()
        store_age = self._contact.get_age(now)
        failures = [
            table.failed_at
            for table in self._tables.values()
            if table.failed_at is not None
        ]
        message = FeedNews(
            self._host,
            self._zone,
            self._election.is_reader,
            tables,
            -1 if store_age is None else store_age,
            now - max(failures) if failures else -1,
        )
        payload = encode_news(message)
        if len(payload) > _MAX_DATAGRAM:
            self._journal.write('feed_news_too_large', size=len(payload))
            payload = encode_news(_announce(message))
        known = self._network.addresses
        # Each reader has an order of its own, so that the daemons which one of
        # them does not get to hear from another one.
        ordered = sorted(hosts & known.keys(), key=self._get_order)
        addresses = [known[host] for host in ordered]
        self.counts.record_message('sent', len(addresses))
        if len(payload) > _PACED_SIZE and self._nursery is not None:
            self._nursery.start_soon(self._send_paced, payload, addresses)
        else:
            await self._network.send(payload, addresses)

    async def _send_paced(
        self, payload: bytes, addresses: list[Address]
    ) -> None:
        rate = self.link_megabits * BYTES_PER_MILLISECOND * _LINK_SHARE
        pause = len(payload) / rate / _MILLISECONDS_PER_SECOND
        with trio.move_on_after(_PACED_TIME / _MILLISECONDS_PER_SECOND):
            for address in addresses:
                await self._network.send(payload, [address])
                await trio.sleep(pause)

    def _get_order(self, host: str) -> bytes:
        return hashlib.blake2b(
            f'{self._host}\0{host}'.encode(), digest_size=_HASH_BYTES
        ).digest()


def _announce(message: FeedNews) -> FeedNews:
    """Return a message that tells of changes without their rows."""
    announced = [
        TableNews(news.table, news.revision, news.revision, news.age)
        for news in message.tables
    ]
    return msgspec.structs.replace(message, tables=announced)
