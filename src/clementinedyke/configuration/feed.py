"""Feeding of records from daemon to daemon."""

from collections.abc import Iterable, Iterator
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import (
    ConfigurationOptions,
    MembersSeen,
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
    """Records in force, asked from peers and passed on to peers."""

    def __init__(self, own: Member, options: ConfigurationOptions) -> None:
        """Create a feed without any records.

        :param own: record of this daemon.
        :param options: intervals and sizes.
        """
        self.records = RecordRows()
        self.confirmation = Confirmation()
        self.requests = PendingReads()
        self.members = MembersSeen((own,), ())
        #: Highest version that any peer told.
        self.highest_seen = 0
        #: Highest revision of the store that any peer told.
        self.highest_confirmed = 0
        self._options = options

    def note_peer(self, advert: Advert) -> None:
        """Remember how far the store is known to have come.

        :param advert: state of a peer.
        """
        self.highest_seen = max(self.highest_seen, advert.version)
        self.highest_confirmed = max(self.highest_confirmed, advert.confirmed)

    def get_advert(self, now: Milliseconds) -> Advert:
        """Return what peers are told.

        :param now: current instant.
        """
        return Advert(
            self.records.version,
            self.confirmation.revision,
            self.get_age(now),
        )

    def get_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the milliseconds since the store confirmed the records.

        :param now: current instant.
        """
        instant = self.confirmation.instant
        return None if instant is None else now - instant

    @singledispatchmethod
    def answer(
        self, message: object, address: str, now: Milliseconds
    ) -> Iterable[ConfigurationAction]:
        """Return the actions that a message calls for.

        :param message: message of a peer; other types have no effect.
        :param address: daemon address of the peer.
        :param now: current instant.
        """
        return ()

    @answer.register
    def _answer_hint(
        self, message: Hint, address: str, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        self.highest_seen = max(self.highest_seen, message.version)
        if message.version > self.records.version:
            yield from self.fetch(address, now)

    @answer.register
    def _answer_fetch(
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

    @answer.register
    def _answer_changes(
        self, message: Changes, address: str, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        asked_at = self.requests.fetches.pop(message.sequence, None)
        if asked_at is None or message.since > self.records.version:
            return
        if self.records.apply(message.rows, message.upto):
            yield from self.announce()
        if message.upto < message.advert.version:
            yield from self.fetch(address, now)
        else:
            self.adopt(message.advert, asked_at)

    def fetch(
        self, address: str, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        """Ask a peer for newer rows unless a question is open.

        :param address: daemon address of the peer.
        :param now: current instant.
        """
        if not self._options.relay or self.requests.fetches:
            return
        self.requests.number += 1
        self.requests.fetches[self.requests.number] = now
        request = FetchChanges(self.requests.number, self.records.version)
        yield Send(address, request)

    def adopt(self, advert: Advert, asked_at: Milliseconds) -> None:
        """Take over a peer's confirmation of the same rows.

        :param advert: state of the peer.
        :param asked_at: instant at which this daemon asked for it.
        """
        # The answer was made after the question, so the age plus the time
        # since the question bounds the true age without a second clock.
        is_same = advert.version == self.records.version
        if is_same and advert.age is not None and self._options.relay:
            instant = asked_at - max(0, advert.age)
            self.confirmation.renew(advert.confirmed, instant)

    def announce(self) -> Iterator[ConfigurationAction]:
        """Tell this daemon and its neighbours about a new version."""
        yield RecordsChanged(self.records.version)
        if self._options.relay:
            hint = Hint(self.records.version)
            for neighbour in self.members.neighbours:
                yield Send(neighbour.address, hint)
