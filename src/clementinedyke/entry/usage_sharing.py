"""Lets one daemon of a zone write the usage of all of them."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import singledispatchmethod

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.peer_network import DatagramNetwork
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_duty import PartRow, PartWriter, UsagePart
from clementinedyke.entry.usage_messages import (
    USAGE_PREFIX,
    SharedPart,
    UsageMessage,
    UsageShares,
    UsageWritten,
    WrittenPart,
    decode_usage,
    encode_usage,
)
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address
from clementinedyke.rows import ABSENT, RowStore

#: Time for which a part that has ended waits to be written by another daemon.
#: Reports wait for parts of all daemons for 6 s on the users' sites.
_SHARE_TIMEOUT: Milliseconds = 2500
#: Time after the end of a window at which its parts are written, since daemons
#: send theirs each second, and the time between two writes within a window. If
#: the collector ends, the daemons send again what it had not written.
_COLLECT_DELAY: Milliseconds = 1200
_COLLECT_INTERVAL: Milliseconds = 2500
#: Time after the end of a window at which all parts of a zone may be written.
SHARED_SETTLE_TIME: Milliseconds = 2400
#: Writes of the own parts in a row, of which the first may meet a row of
#: unknown version.
_OWN_TRIES = 2
#: Parts in one commit. Each needs two of the 100 entries that a transaction of
#: the users' store may have.
_MAX_ROWS = 45
#: Parts that are kept for others; a zone has some dozens of daemons with up to
#: three open windows each.
_MAX_COLLECTED = 1000


@dataclass(slots=True)
class _CollectedPart:
    """Part of another daemon; ``is_written`` once it is in the store."""

    host: str
    run_id: str
    shared: SharedPart
    version: int
    is_written: bool = False

    def adopt_row(self, stored: Mapping[str, PartRow]) -> bool:
        """Take the version of the stored row; return False if it is gone.

        :param stored: all rows of the window by their keys.
        """
        row = stored.get(self.compile_row().key)
        if row is None:
            return self.version == ABSENT
        self.version = row.version
        counted = sum(self.shared.counts.values())
        self.is_written = sum(row.part.counts.values()) > counted
        return True

    def compile_row(self) -> PartRow:
        """Return the row that is to be written."""
        part = UsagePart(
            self.host,
            self.shared.counts,
            is_final=self.shared.is_final,
            era=self.shared.era,
        )
        return PartRow(self.shared.window, self.run_id, part, self.version)


@dataclass(slots=True)
class _SentPart:
    """Own part that another daemon is to write, since ``waits_since``."""

    part: UsagePart
    sequence: int
    waits_since: Milliseconds


@dataclass(slots=True)
class _Shared:
    """What this daemon has sent, and what others have sent to it."""

    sent: dict[int, _SentPart] = field(default_factory=dict)
    collected: dict[tuple[int, str], _CollectedPart] = field(
        default_factory=dict
    )


class UsageSharing:
    """Sends counts to the collector of the zone, or collects those of others.

    Rows are the same as if each daemon wrote its own, with the same
    conditions, so that a part counts once whoever writes it. A part that the
    collector has not confirmed in time is written by its own daemon.
    """

    #: First byte of the datagrams that are received.
    prefix = USAGE_PREFIX

    def __init__(
        self,
        host: str,
        run_id: str,
        writer: PartWriter,
        network: DatagramNetwork,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Create an instance that shares nothing.

        :param host: name of this host.
        :param run_id: identity of this run of the daemon.
        :param writer: writer of this daemon's parts.
        :param network: socket and addresses of the other daemons.
        :param clock: clock of the host.
        :param journal: log of unreadable messages and failed writes.
        """
        self._host = host
        self._run_id = run_id
        self._writer = writer
        self._network = network
        self._clock = clock
        self._journal = journal
        self._shared = _Shared()
        self._sequence = 0
        self._collected_at: Milliseconds = 0
        #: Returns the host that collects the usage of this zone, none (empty)
        #: if each daemon writes its own.
        self.select_collector: Callable[[], str | None] = str

    @property
    def is_shared(self) -> bool:
        """Whether one daemon writes the usage of this zone."""
        return bool(self.select_collector())

    async def write_parts(self) -> None:
        """Write this daemon's parts, or have them written."""
        collector = self.select_collector()
        if collector == self._host:
            await self._write_collected()
        elif collector:
            await self._send_parts(collector)
        else:
            await self._writer.write_parts()

    async def flush(self) -> None:
        """Write all parts at once, those of other daemons included."""
        await self._write_own()
        await self._commit(self._list_uncommitted())

    def record_return(self) -> None:
        """Write parts again, for a store that returned from a copy."""
        self._writer.record_return()
        self._shared.sent.clear()
        self._shared.collected.clear()

    async def receive(self, datagram: bytes, sender: Address) -> None:
        """Process a message of another daemon.

        :param datagram: bytes with the prefix of these messages.
        :param sender: address of the other daemon.
        """
        try:
            message = decode_usage(datagram)
        except ProtocolError as error:
            self._journal.write('news_unreadable', error=str(error))
            return
        self._handle(message)

    @singledispatchmethod
    def _handle(self, message: UsageMessage) -> None:
        raise TypeError(f'no message: {message!r}')

    @_handle.register
    def _handle_shares(self, message: UsageShares) -> None:
        collected = self._shared.collected
        for shared in message.parts:
            place = (shared.window, message.run_id)
            known = collected.get(place)
            if known is not None and known.shared.sequence >= shared.sequence:
                continue
            version = max(shared.version, known.version if known else ABSENT)
            collected[place] = _CollectedPart(
                message.host, message.run_id, shared, version
            )
        while len(collected) > _MAX_COLLECTED:
            collected.pop(next(iter(collected)))

    @_handle.register
    def _handle_written(self, message: UsageWritten) -> None:
        if message.run_id != self._run_id:
            return
        for written in message.parts:
            sent = self._shared.sent.get(written.window)
            is_latest = sent is not None and sent.sequence == written.sequence
            self._writer.record_version(written.window, written.version)
            if sent is not None and is_latest:
                self._writer.record_written(written.window, sent.part)
                self._shared.sent.pop(written.window)

    async def _send_parts(self, collector: str) -> None:
        now = self._clock.get_now()
        rows = self._writer.list_unwritten()
        if self._has_overdue(rows, now):
            await self._write_own()
            self._shared.sent.clear()
            return
        address = self._network.addresses.get(collector)
        if not rows or address is None:
            return
        shares = UsageShares(
            self._host,
            self._run_id,
            [self._compile_share(row, now) for row in rows],
        )
        await self._network.send(encode_usage(shares), (address,))

    async def _write_own(self) -> None:
        """Write the parts of this daemon, also if others wrote its rows.

        A conflict tells the version of the row that was written for it.
        """
        for _ in range(_OWN_TRIES):
            await self._writer.write_parts()
            if not self._writer.list_unwritten():
                return

    def _has_overdue(self, rows: list[PartRow], now: Milliseconds) -> bool:
        windows = {row.window for row in rows if row.part.is_final}
        return any(
            sent.part.is_final and now - sent.waits_since >= _SHARE_TIMEOUT
            for window, sent in self._shared.sent.items()
            if window in windows
        )

    def _compile_share(self, row: PartRow, now: Milliseconds) -> SharedPart:
        known = self._shared.sent.get(row.window)
        if known is None or known.part != row.part:
            self._sequence += 1
            known = _SentPart(row.part, self._sequence, now)
            self._shared.sent[row.window] = known
        return SharedPart(
            row.window,
            row.part.counts,
            row.part.is_final,
            row.version,
            known.sequence,
            row.part.era,
        )

    async def _write_collected(self) -> None:
        now = self._clock.get_now()
        own = self._writer.list_unwritten()
        has_ended = any(row.part.is_final for row in own)
        is_due = now - self._collected_at >= _COLLECT_INTERVAL
        if has_ended:
            is_due = self._writer.window_age >= _COLLECT_DELAY
        if not is_due:
            return
        self._collected_at = now
        if not await self._commit(self._list_uncommitted(), own):
            await self._writer.write_parts()
        self._remove_old()

    def _list_uncommitted(self) -> list[_CollectedPart]:
        return [
            item
            for item in self._shared.collected.values()
            if not item.is_written
        ]

    async def _commit(
        self, collected: list[_CollectedPart], own: Iterable[PartRow] = ()
    ) -> bool:
        """Write parts in as few commits as possible.

        :return: whether the own parts were written.
        """
        rows = list(own)
        is_written = True
        for start in range(0, max(1, len(collected)), _MAX_ROWS):
            batch = collected[start : start + _MAX_ROWS]
            parts = [*rows, *(item.compile_row() for item in batch)]
            version = await self._writer.commit(parts) if parts else None
            if version is None:
                is_written = is_written and not rows
                await self._update_versions(batch)
            else:
                self._writer.record_commit(rows, version)
                await self._confirm(batch, version)
            rows = []
        return is_written

    async def _update_versions(self, batch: list[_CollectedPart]) -> None:
        """Read the rows of parts after a failed commit.

        A daemon may have written its row itself without an answer. Parts whose
        rows are gone, or can't be read, are left to their own daemons.
        """
        if batch:
            self._journal.write('usage_shares_not_written', parts=len(batch))
        windows = {item.shared.window for item in batch}
        stored = {
            window: await self._writer.read_rows(window) for window in windows
        }
        for item in batch:
            known = stored[item.shared.window]
            if known is None or not item.adopt_row(known):
                self._shared.collected.pop(
                    (item.shared.window, item.run_id), None
                )

    async def _confirm(self, batch: list[_CollectedPart], version: int) -> None:
        for item in batch:
            item.version = version
            item.is_written = True
            address = self._network.addresses.get(item.host)
            written = UsageWritten(
                item.run_id,
                [
                    WrittenPart(
                        item.shared.window, version, item.shared.sequence
                    )
                ],
            )
            if address is not None:
                await self._network.send(encode_usage(written), (address,))

    def _remove_old(self) -> None:
        """Forget the parts of windows that are no longer open."""
        oldest = self._writer.oldest_window
        for place in tuple(self._shared.collected):
            if place[0] < oldest:
                self._shared.collected.pop(place)


def create_sharing(
    host: str,
    run_id: str,
    store: RowStore,
    counter: UsageCounter,
    tools: tuple[DatagramNetwork, Clock, Journal],
) -> UsageSharing:
    """Return the sharing of a daemon with a writer of its own parts.

    :param host: name of this host.
    :param run_id: identity of this run of the daemon.
    :param store: rows of the platform.
    :param counter: counter of this daemon.
    :param tools: network of the daemons, clock and log.
    """
    network, clock, journal = tools
    writer = PartWriter(store, counter, journal, host, run_id)
    return UsageSharing(host, run_id, writer, network, clock, journal)
