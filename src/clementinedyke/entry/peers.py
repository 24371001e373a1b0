"""Discovers the other daemons and exchanges updates and state with them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import msgspec
import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.decoding import decode_msgpack
from clementinedyke.entry.exchanged_state import ExchangedState
from clementinedyke.entry.feed_exchange import FollowedTable
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.lending import LendingCounts, LendingLimit
from clementinedyke.entry.news import PeerTable, PeerUpdate
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.relay_messages import RELAY_PATH
from clementinedyke.entry.shared_state import (
    SharedRow,
    SharedState,
    decode_state,
    encode_state,
    request_state,
)
from clementinedyke.entry.watch import StoredRow
from clementinedyke.exceptions import ClementinedykeError, ProtocolError
from clementinedyke.http.client import Address
from clementinedyke.http.message import (
    RequestHandler,
    ResponseWriter,
    ServerRequest,
)
from clementinedyke.http.server import HttpServer
from clementinedyke.quarantine.core import Evidence
from clementinedyke.quarantine.rows import compile_evidence, compile_row
from clementinedyke.rows import RowStore, Write, convert_row
from clementinedyke.tasks import run_restarting

DAEMONS_TABLE = 'daemons'
_STATUS_OK = 200
_STATUS_BUSY = 503
_MILLISECONDS_PER_SECOND = 1000
#: Limit on the datagrams that a daemon sends per second in total; with more
#: daemons each one gets updates less often.
_DATAGRAMS_PER_SECOND = 60
_MIN_INTERVAL: Milliseconds = 100
#: At this interval about one request is placed at an endpoint between updates.
_MAX_FREQUENT_INTERVAL: Milliseconds = 250
#: Unchanged work is sent only once per this many intervals.
_IDLE_FACTOR = 5
#: A daemon is active if its last update is younger than this many idle
#: intervals, and than a minimum that covers lost datagrams.
_ACTIVE_INTERVALS = 3
_MIN_ACTIVE_AGE: Milliseconds = 1500
#: Interval between reads of the list of daemons. New daemons announce
#: themselves by their updates, so the list only finds those that were missed.
_LIST_INTERVAL: Milliseconds = 15000
#: The same for a daemon that others read the store for: it would hear from a
#: new daemon through all others, and calls grow with the number of daemons.
_FOLLOWED_LIST_INTERVAL: Milliseconds = 60000
_FIRST_LIST_INTERVAL: Milliseconds = 700
#: Successful reads at the short interval. A daemon that is listed later reads
#: this one's row, and sends it an update.
_FIRST_LIST_COUNT = 2
#: Time in which evidence is collected before it is sent.
_EVIDENCE_DELAY: Milliseconds = 2


class _DaemonRow(msgspec.Struct, frozen=True):
    """Address at which a daemon receives updates; the key is the host name."""

    ip: str
    port: int
    zone: str = ''


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Host, run id, address and zone by which other daemons know this one.

    ``link_megabits`` is the bandwidth of the host's link in Mbit/s.
    """

    host: str
    run_id: str
    address: Address
    availability_zone: str
    link_megabits: float


class PeerComponent(Component):
    """Exchanges updates and copies of the state with other daemons."""

    def __init__(
        self,
        identity: PeerIdentity,
        connections: tuple[PeerNetwork, RowStore],
        peer_table: PeerTable,
        state: ExchangedState,
        tools: tuple[Clock, Journal, Random],
        create_server: Callable[[RequestHandler], HttpServer],
    ) -> None:
        """Create the component.

        :param identity: identity of this daemon.
        :param connections: socket for the other daemons, and the store with
            their table.
        :param peer_table: stores the updates of other daemons.
        :param state: state that is sent to the others and received from them.
        :param tools: clock, log and random generator for jitter.
        :param create_server: creates the server for the other daemons.
        """
        self._identity = identity
        self._store = connections[1]
        self._peer_table = peer_table
        self._work = state.work
        self._configuration = state.configuration
        self._endpoints = state.endpoints
        self._contact = state.store_contact
        self._evidence = state.suspects
        self._suspects = self._evidence.suspects
        self._has_evidence = trio.Event()
        self._suspects.urgent_observers.append(self._announce_evidence)
        self._suspects.parts.urgent_observers.append(self.announce)
        self._limits = state.notices.limits
        self._departures = state.notices.departures
        self._departures.urgent_observers.append(self.announce)
        self._relay_port = state.relay_port
        self._limits.urgent_observers.append(self.announce)
        self._clock = tools[0]
        self._started_at = self._clock.get_now()
        self._journal = tools[1]
        self.lending_counts = LendingCounts()
        self._lending_limit = LendingLimit(identity.link_megabits)
        self._generator = tools[2]
        self._network = connections[0]
        self._network.receive_update = self._receive
        self._port = identity.address.port
        self._sequence = 0
        self._last_work: dict[str, tuple[int, int]] = {}
        self._server = create_server(self._respond)
        #: Returns whether another daemon reads the store for this one.
        self.is_followed: Callable[[], bool] = bool
        #: Feed of the configuration's table.
        self.configuration_feed: FollowedTable | None = None
        #: Table of the configuration and the key of its row.
        self.configuration_place = ('', '')

    @property
    def interval(self) -> Milliseconds:
        """Time between two datagrams to a daemon while the work changes."""
        spread = len(self._network.addresses) * _MILLISECONDS_PER_SECOND
        return max(_MIN_INTERVAL, spread // _DATAGRAMS_PER_SECOND)

    @property
    def active_age(self) -> Milliseconds:
        """Age in ms of its last update up to which a daemon is active."""
        return max(
            _MIN_ACTIVE_AGE, _ACTIVE_INTERVALS * _IDLE_FACTOR * self.interval
        )

    def has_infrequent_updates(self) -> bool:
        """Return whether many requests are placed between two datagrams."""
        return self.interval > _MAX_FREQUENT_INTERVAL

    @property
    def daemon_count(self) -> int:
        """Number of daemons ever listed or heard from, this one included."""
        return 1 + len(self._network.addresses)

    def list_active(self) -> frozenset[str]:
        """Return the hosts of daemons that sent an update recently.

        Until all others have had the time to send one, they are the listed
        daemons too: some of these may have ended, but a daemon that counts
        only itself tells nobody of its streams and takes whole limits.
        """
        now = self._clock.get_now()
        age = self.active_age
        active = self._peer_table.list_hosts(age, now)
        if now - self._started_at <= age:
            return active | self._network.addresses.keys()
        return active

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind both sockets and start the tasks.

        :param nursery: nursery that runs the tasks.
        """
        while not await self._bind(nursery):
            self._network.reopen()
        nursery.start_soon(run_restarting, self._run_receiver, 'peers.receiver')
        nursery.start_soon(run_restarting, self._run_sender, 'peers.sender')
        nursery.start_soon(
            run_restarting, self._run_evidence_sender, 'peers.evidence_sender'
        )
        nursery.start_soon(
            run_restarting, self._run_discovery, 'peers.discovery'
        )

    async def fetch_state(self, host: str) -> bool:
        """Fetch the state of another daemon and apply it where it is newer.

        :param host: host of the other daemon, which may be unknown.
        :return: False if the daemon is unknown or did not send its state.
        """
        address = self._network.addresses.get(host)
        if address is None:
            return False
        asked_at = self._clock.get_now()
        try:
            answer = await request_state(address)
        except ClementinedykeError as error:
            self._record_failed_fetch(host, error)
            return False
        if answer.status != _STATUS_OK:
            self.lending_counts.record_fetch('refused')
            return False
        try:
            state = decode_state(answer)
        except ProtocolError as malformed:
            self._record_failed_fetch(host, malformed)
            return False
        self.lending_counts.record_fetch('done')
        self._apply_state(host, state, asked_at)
        return True

    def _record_failed_fetch(self, host: str, error: Exception) -> None:
        self.lending_counts.record_fetch('failed')
        self._journal.write('state_not_lent', peer=host, reason=str(error))

    async def _bind(self, nursery: trio.Nursery) -> bool:
        """Bind the UDP and the TCP socket to one port.

        Port 0 selects a free UDP port, which may be in use for TCP; the caller
        then tries again. A configured port that is in use raises ``OSError``.

        :return: False if the selected port is in use for TCP.
        """
        host = self._identity.address.host
        self._port = await self._network.bind(self._identity.address)
        try:
            await nursery.start(self._server.serve, host, self._port)
        except OSError as error:
            if self._identity.address.port:
                raise
            self._journal.write('port_taken', error=str(error))
            return False
        return True

    async def stop(self) -> None:
        """Close the UDP socket."""
        self._network.close()

    async def _run_receiver(self) -> None:
        while True:
            try:
                datagram, sender = await self._network.receive()
            except trio.ClosedResourceError:
                return
            await self._receive(datagram, sender)

    async def _receive(self, datagram: bytes, sender: Address) -> None:
        try:
            update = decode_msgpack(datagram, PeerUpdate)
        except ProtocolError as malformed:
            self._journal.write('news_unreadable', error=str(malformed))
            return
        self._apply_update(update, sender)

    def _apply_update(self, update: PeerUpdate, sender: Address) -> None:
        now = self._clock.get_now()
        if not self._peer_table.apply_update(update, now):
            return
        self._network.record_sender(update.host, sender)
        self._work.set_remote_work(
            self._peer_table.running, self._peer_table.tokens
        )
        self._work.record_remote_parts(update.read_parts, now)
        if update.store_age >= 0:
            self._contact.record_remote_answer(now - update.store_age)
        if update.evidence:
            self._suspects.receive_evidence(
                tuple(map(compile_evidence, update.evidence)), now
            )
        parts = self._suspects.parts
        parts.receive_trials(update.host, update.tried_parts, now)
        parts.receive_cleared(update.cleared_parts, now)
        self._limits.receive_news(update.limits, now)
        self._departures.receive_news(update.departures, now)
        self._evidence.record_revision(update.suspects_revision)
        confirmed = self._peer_table.get_confirmation_time(
            self._configuration.version, update.host
        )
        if confirmed is not None:
            self._configuration.confirm(confirmed)

    async def _run_sender(self) -> None:
        idle_rounds = 0
        while True:
            await trio.sleep(self.interval / _MILLISECONDS_PER_SECOND)
            now = self._clock.get_now()
            self._peer_table.expire(now)
            work = self._work.get_local_work(now)
            idle_rounds += 1
            # Parts that an engine has read need no check of their own: reading
            # a prompt also changes the work.
            has_changed = work != self._last_work or self._suspects.has_due(now)
            if has_changed or idle_rounds >= _IDLE_FACTOR:
                self._last_work = work
                idle_rounds = 0
                await self._send_update(work)

    def _announce_evidence(self, evidence: Sequence[Evidence]) -> None:
        self._has_evidence.set()

    def announce(self) -> None:
        """Send an update without waiting for the next interval."""
        self._has_evidence.set()

    async def _run_evidence_sender(self) -> None:
        while True:
            await self._has_evidence.wait()
            # All requests of an ended endpoint fail within the same moment.
            await trio.sleep(_EVIDENCE_DELAY / _MILLISECONDS_PER_SECOND)
            self._has_evidence = trio.Event()
            work = self._work.get_local_work(self._clock.get_now())
            await self._send_update(work)

    async def _send_update(self, work: dict[str, tuple[int, int]]) -> None:
        self._sequence += 1
        now = self._clock.get_now()
        age = self._configuration.get_age(now)
        store_age = self._contact.get_age(now)
        update = PeerUpdate(
            host=self._identity.host,
            run_id=self._identity.run_id,
            sequence=self._sequence,
            version=self._configuration.version,
            configuration_age=-1 if age is None else age,
            endpoints_revision=self._endpoints.changed_revision,
            interval=self.interval * _IDLE_FACTOR,
            work=work,
            read_parts=self._work.pop_read_parts(),
            store_age=-1 if store_age is None else store_age,
            evidence=list(map(compile_row, self._suspects.pop_unsent(now))),
            suspects_revision=self._evidence.newest_revision,
            cleared_parts=self._suspects.parts.pop_cleared(),
            tried_parts=self._suspects.parts.pop_trials(),
            limits=self._limits.list_news(now),
            can_relay=self._relay_port.is_willing,
            departures=self._departures.list_news(
                now, has_new_daemon=self._peer_table.has_new_daemon(now)
            ),
            zone=self._identity.availability_zone,
        )
        await self._network.send(
            msgspec.msgpack.encode(update),
            tuple(self._network.addresses.values()),
        )

    async def _run_discovery(self) -> None:
        identity = self._identity
        own = _DaemonRow(
            identity.address.host, self._port, identity.availability_zone
        )
        is_listed = False
        rounds = 0
        known = 0
        while True:
            if not is_listed:
                written = await self._store.commit(
                    [], [Write(DAEMONS_TABLE, identity.host, own)]
                )
                is_listed = written.is_ok()
            rounds += await self._read_daemon_list()
            if len(self._network.addresses) > known:
                # Daemons that start together hear of one another at once, and
                # need not read the store for themselves until then.
                known = len(self._network.addresses)
                self.announce()
            wait = _FIRST_LIST_INTERVAL
            if is_listed and rounds >= _FIRST_LIST_COUNT:
                wait = (
                    _FOLLOWED_LIST_INTERVAL
                    if self.is_followed()
                    else _LIST_INTERVAL
                )
            jitter = self._generator.random() * wait / 4
            await trio.sleep((wait + jitter) / _MILLISECONDS_PER_SECOND)

    async def _read_daemon_list(self) -> bool:
        """Read the list of daemons; return whether the store answered."""
        answer = await self._store.list_rows(DAEMONS_TABLE)
        if answer.is_err():
            return False
        for row in answer.unwrap().rows:
            if row.key == self._identity.host:
                continue
            peer = convert_row(DAEMONS_TABLE, row, _DaemonRow)
            if peer is None:
                continue
            address = Address(peer.ip, peer.port)
            if address.is_reachable:
                self._network.record_listed(row.key, address, peer.zone)
            else:
                self._journal.write(
                    'daemon_row_unreadable', key=row.key, address=str(address)
                )
        return True

    def _apply_state(
        self, host: str, state: SharedState, asked_at: Milliseconds
    ) -> None:
        former = self._configuration.version
        now = self._clock.get_now()
        news = state.compile_news(
            self.configuration_place[0],
            self.configuration_place[1],
            now - asked_at,
        )
        if news is not None and self.configuration_feed is not None:
            # The feed need not read what the copy holds.
            self.configuration_feed.apply_news(news, now)
        if state.configuration:
            self._configuration.apply_content(state.configuration, now)
        if state.configuration_age >= 0:
            self._configuration.confirm(asked_at - state.configuration_age)
        if state.endpoints_revision > self._endpoints.as_of_revision:
            rows = tuple(
                StoredRow(row.key, row.version, row.content)
                for row in state.endpoints
            )
            self._endpoints.replace_rows(rows, asked_at)
            self._endpoints.confirm(asked_at, state.endpoints_revision)
        self._journal.write(
            'state_lent',
            peer=host,
            former_version=former,
            version=self._configuration.version,
            age_ms=state.configuration_age,
        )

    async def _respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        if request.path == RELAY_PATH:
            await self._relay_port.respond(request, response)
            return
        now = self._clock.get_now()
        if not self._lending_limit.may_lend(now):
            await response.send_response(_STATUS_BUSY, [], b'')
            return
        headers, payload = encode_state(self._copy_state(now), request)
        self._lending_limit.record_lent(len(payload), now)
        self.lending_counts.record_lent(len(payload))
        await response.send_response(_STATUS_OK, headers, payload)

    def _copy_state(self, now: Milliseconds) -> SharedState:
        age = self._configuration.get_age(now)
        known = None
        if self.configuration_feed is not None and (
            self._configuration.is_readable
        ):
            known = self.configuration_feed.compile_news(now)
        return SharedState(
            self._configuration.content,
            -1 if age is None else age,
            [
                SharedRow(row.key, row.version, row.content or b'')
                for row in self._endpoints.list_rows()
            ],
            self._endpoints.as_of_revision,
            0 if known is None else known.revision,
            0 if known is None else known.after,
        )
