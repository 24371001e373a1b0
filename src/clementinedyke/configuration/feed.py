"""Replication of the records from daemon to daemon."""

from collections.abc import Iterable, Iterator
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import (
    ConfigurationOptions,
    MembersUpdated,
    Poll,
    RecordsChanged,
)
from clementinedyke.configuration.messages import (
    Advert,
    Changes,
    FetchChanges,
    Hint,
)
from clementinedyke.control.messages import Member
from clementinedyke.members.events import Send
from clementinedyke.records.rows import Confirmation, PendingReads, RecordRows

ConfigurationAction = Send | Poll | RecordsChanged


class ConfigurationFeed:
    """Current records, fetched from peers and served to peers."""

    def __init__(self, own: Member, options: ConfigurationOptions) -> None:
        """Create a feed without any records.

        :param own: record of this daemon.
        :param options: intervals and sizes.
        """
        self.records = RecordRows()
        self.confirmation = Confirmation()
        self.requests = PendingReads()
        self.members = MembersUpdated((own,), ())
        #: Highest row version that a peer advertised.
        self.highest_peer_version = 0
        #: Highest store revision that a peer advertised.
        self.highest_peer_revision = 0
        self._options = options

    def record_advert(self, advert: Advert) -> None:
        """Update the highest version and revision known from peers.

        :param advert: configuration state of a peer.
        """
        self.highest_peer_version = max(
            self.highest_peer_version, advert.version
        )
        self.highest_peer_revision = max(
            self.highest_peer_revision, advert.confirmed
        )

    def get_advert(self, now: Milliseconds) -> Advert:
        """Return the configuration state to send to peers.

        The list adverts are left empty.

        :param now: current time.
        """
        return Advert(
            self.records.version,
            self.confirmation.revision,
            self.get_age(now),
        )

    def get_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the milliseconds since the store confirmed the records.

        The result is None if it never did.

        :param now: current time.
        """
        instant = self.confirmation.instant
        return None if instant is None else now - instant

    @singledispatchmethod
    def handle_message(
        self, message: object, address: str, now: Milliseconds
    ) -> Iterable[ConfigurationAction]:
        """Return the actions to carry out in response to a message.

        :param message: message of a peer; unknown types are ignored.
        :param address: daemon address of the peer.
        :param now: current time.
        """
        return ()

    @handle_message.register
    def _handle_hint(
        self, message: Hint, address: str, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        self.highest_peer_version = max(
            self.highest_peer_version, message.version
        )
        if message.version > self.records.version:
            yield from self.fetch(address, now)

    @handle_message.register
    def _handle_fetch(
        self, message: FetchChanges, address: str, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        rows, upto = self.records.select_chunk(
            message.since, self._options.chunk_bytes
        )
        changes = Changes(
            message.sequence,
            message.since,
            upto,
            tuple(rows),
            self.get_advert(now),
        )
        yield Send(address, changes)

    @handle_message.register
    def _handle_changes(
        self, message: Changes, address: str, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        asked_at = self.requests.fetches.pop(message.sequence, None)
        if asked_at is None or message.since > self.records.version:
            return
        if self.records.apply(message.rows, message.upto):
            yield from self.announce_version()
        if message.upto < message.advert.version:
            yield from self.fetch(address, now)
        else:
            self.adopt_confirmation(message.advert, asked_at)

    def fetch(
        self, address: str, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        """Request newer rows from a peer unless a request is pending.

        :param address: daemon address of the peer.
        :param now: current time.
        """
        if not self._options.relay or self.requests.fetches:
            return
        self.requests.number += 1
        self.requests.fetches[self.requests.number] = now
        request = FetchChanges(self.requests.number, self.records.version)
        yield Send(address, request)

    def adopt_confirmation(
        self, advert: Advert, asked_at: Milliseconds
    ) -> None:
        """Adopt a peer's confirmation if the peer has the same version.

        :param advert: configuration state of the peer.
        :param asked_at: time at which this daemon requested the advert.
        """
        # The peer computed the age after the request was sent, so the age plus
        # the time since the request is an upper bound of the true age. This
        # needs no synchronized clocks.
        is_same_version = advert.version == self.records.version
        if is_same_version and advert.age is not None and self._options.relay:
            instant = asked_at - max(0, advert.age)
            self.confirmation.renew(advert.confirmed, instant)

    def announce_version(self) -> Iterator[ConfigurationAction]:
        """Announce the new version to this daemon and to its neighbours."""
        yield RecordsChanged(self.records.version)
        if self._options.relay:
            hint = Hint(self.records.version)
            for neighbour in self.members.neighbours:
                yield Send(neighbour.address, hint)
