"""Decides when to poll the store and when the records are up to date."""

import random
from collections.abc import Iterable, Iterator
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import (
    AdvertReceived,
    ConfigurationOptions,
    MembersUpdated,
    Poll,
    PollAnswered,
    PollFailed,
)
from clementinedyke.configuration.feed import (
    ConfigurationAction,
    ConfigurationFeed,
)
from clementinedyke.control.messages import Member
from clementinedyke.control.watchers import PollSchedule, select_watchers
from clementinedyke.members.events import Received, Tick


class ConfigurationCore:
    """Replicates the records and tracks when the store last confirmed them.

    The core does no input or output: it turns events into actions.
    """

    def __init__(
        self,
        own: Member,
        random_source: random.Random,
        options: ConfigurationOptions,
    ) -> None:
        """Create a core without any records.

        :param own: record of this daemon.
        :param random_source: seeded source of jitter.
        :param options: intervals in milliseconds and switches.
        """
        self.feed = ConfigurationFeed(own, options)
        #: Whether this daemon polls the store for its availability zone.
        self.is_watcher = True
        self._own_member = own
        self._options = options
        self._schedule = PollSchedule(random_source, options)
        self._first_tick: Milliseconds | None = None
        self._has_peer_advert = False

    def handle(
        self, event: object, now: Milliseconds
    ) -> list[ConfigurationAction]:
        """Return the actions to carry out in response to an event.

        :param event: an event of ``configuration.events``, a tick or a
            received message.
        :param now: current time of this process's clock.
        """
        return list(self._handle(event, now))

    def is_key_state_fresh(self, now: Milliseconds) -> bool:
        """Return whether the key state is recent enough for keyed requests.

        The last confirmation must be at most ``key_max_age`` old, and no peer
        may have advertised a higher version.

        :param now: current time.
        """
        age = self.feed.get_age(now)
        if (
            age is None
            or self.feed.records.version < self.feed.highest_peer_version
        ):
            return False
        return age <= self._options.key_max_age or not self._options.check_age

    def is_ready(self, now: Milliseconds) -> bool:
        """Return whether the records are up to date with all known peers.

        Without an advert from a peer, this daemon counts as the only one after
        ``solo_timeout``.

        :param now: current time.
        """
        began = self._first_tick
        is_alone = (
            began is not None and now - began >= self._options.solo_timeout
        )
        return (self._has_peer_advert or is_alone) and self.is_key_state_fresh(
            now
        )

    @singledispatchmethod
    def _handle(
        self, event: object, now: Milliseconds
    ) -> Iterable[ConfigurationAction]:
        raise TypeError(f'unknown event {event!r}')

    @_handle.register
    def _handle_tick(
        self, event: Tick, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        if self._first_tick is None:
            self._first_tick = now
        if self.feed.requests.expire(self._options, now):
            self._schedule.record_failure()
        age = self.feed.get_age(now)
        is_stale = age is None or age >= self._options.poll_fallback_age
        is_due = self._schedule.is_due(
            now,
            is_watcher=self.is_watcher,
            is_stale=is_stale and self._options.fallback_poll,
        )
        if is_due and not self.feed.requests.polls:
            self.feed.requests.number += 1
            self.feed.requests.polls[self.feed.requests.number] = now
            yield Poll(self.feed.requests.number, self.feed.records.version)

    @_handle.register
    def _handle_members(
        self, event: MembersUpdated, now: Milliseconds
    ) -> Iterable[ConfigurationAction]:
        self.feed.members = event
        watchers = select_watchers(
            event.living,
            self._own_member.availability_zone,
            self._options.watchers,
        )
        self.is_watcher = self._own_member.daemon_id in watchers
        return ()

    @_handle.register
    def _handle_poll_failure(
        self, event: PollFailed, now: Milliseconds
    ) -> Iterable[ConfigurationAction]:
        if self.feed.requests.polls.pop(event.number, None) is not None:
            self._schedule.record_failure()
        return ()

    @_handle.register
    def _handle_poll_answer(
        self, event: PollAnswered, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        began = self.feed.requests.polls.pop(event.number, None)
        if began is None:
            return
        self._schedule.record_success()
        known_revision = max(
            self.feed.confirmation.revision, self.feed.highest_peer_revision
        )
        is_old = event.revision < known_revision
        if is_old and self._options.check_revision:
            # The store answered from an older revision, for example after an
            # outage. Such an answer does not confirm the records.
            return
        rows = list(event.rows)
        if event.is_snapshot:
            rows.extend(self.feed.records.list_missing(rows, event.revision))
        upto = max((row.version for row in rows), default=0)
        has_new_version = self.feed.records.apply(rows, upto)
        self.feed.confirmation.renew(event.revision, began)
        if has_new_version:
            yield from self.feed.announce_version()

    @_handle.register
    def _handle_advert(
        self, event: AdvertReceived, now: Milliseconds
    ) -> Iterator[ConfigurationAction]:
        advert = event.advert
        self._has_peer_advert = True
        self.feed.record_advert(advert)
        if advert.version > self.feed.records.version:
            yield from self.feed.fetch(event.address, now)
        elif event.asked_at is not None:
            self.feed.adopt_confirmation(advert, event.asked_at)

    @_handle.register
    def _handle_message(
        self, event: Received, now: Milliseconds
    ) -> Iterable[ConfigurationAction]:
        return self.feed.handle_message(event.message, event.address, now)
