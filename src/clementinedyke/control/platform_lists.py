"""Decides when to read the platform's lists and which content is newest."""

import random
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import (
    AdvertReceived,
    ConfigurationOptions,
    ListAnswered,
    ListChanged,
    ReadList,
)
from clementinedyke.configuration.messages import (
    FetchList,
    ListAdvert,
    ListContent,
)
from clementinedyke.members.events import Received, Send

_MINIMUM_JITTER = 0.5
_MAXIMUM_JITTER = 1.5

ListAction = Send | ReadList | ListChanged


class PlatformList(IntEnum):
    """Index of each list in an advert."""

    ENDPOINTS = 0
    HOSTS = 1


@dataclass(slots=True)
class _ListState:
    """Content of a list and the interval in which it was read."""

    content: bytes
    digest: int
    earliest: Milliseconds
    latest: Milliseconds

    def create_advert(self, now: Milliseconds) -> ListAdvert:
        return ListAdvert(self.digest, now - self.earliest, now - self.latest)


class PlatformListCore:
    """Keeps the newest known content of each list.

    The lists have no revision. Content is replaced only by content that was
    certainly read later, so that a slow peer cannot restore an endpoint that
    was removed.
    """

    def __init__(
        self, options: ConfigurationOptions, random_source: random.Random
    ) -> None:
        """Create a core without any list.

        :param options: intervals in milliseconds.
        :param random_source: seeded source of jitter.
        """
        self._random = random_source
        self._options = options
        self._states: dict[int, _ListState] = {}
        self._fetches: dict[int, tuple[int, Milliseconds]] = {}
        self._sequence = 0
        self._next_reads: dict[int, Milliseconds] = {}
        self._next_fallback_reads: dict[int, Milliseconds] = {}

    def get_content(self, place: PlatformList) -> bytes | None:
        """Return the content of a list, or None if it was never read.

        :param place: index of the list.
        """
        state = self._states.get(place)
        return None if state is None else state.content

    def get_age(
        self, place: PlatformList, now: Milliseconds
    ) -> Milliseconds | None:
        """Return the age of a list in milliseconds, or None if never read.

        :param place: index of the list.
        :param now: current time.
        """
        state = self._states.get(place)
        return None if state is None else now - state.earliest

    def list_adverts(self, now: Milliseconds) -> tuple[ListAdvert | None, ...]:
        """Return the advert of each list, None for lists never read.

        :param now: current time.
        """
        states = [self._states.get(place) for place in PlatformList]
        return tuple(
            None if state is None else state.create_advert(now)
            for state in states
        )

    def poll(self, now: Milliseconds, *, daemons: int) -> Iterator[ListAction]:
        """Yield the reads that are due.

        At the target size the lists have 100 KB. If the watchers read them
        every second, each would use 20 times its traffic budget. Therefore all
        daemons share the reads, and the content spreads from peer to peer.

        :param now: current time.
        :param daemons: number of living daemons.
        """
        for place in PlatformList:
            if self._is_due(place, now):
                self._schedule_reads(place, now, daemons)
                yield ReadList(place)

    def _is_due(self, place: PlatformList, now: Milliseconds) -> bool:
        age = self.get_age(place, now)
        if age is None or age >= self._options.list_fallback_age:
            return now >= self._next_fallback_reads.get(place, 0)
        return now >= self._next_reads.get(place, 0)

    def _schedule_reads(
        self, place: PlatformList, now: Milliseconds, daemons: int
    ) -> None:
        options = self._options
        mean_interval = options.poll_interval * max(
            1, daemons / options.list_reads
        )
        fallback_interval = options.list_fallback_age
        if place not in self._states:
            fallback_interval = options.poll_interval
        # With fixed intervals, daemons that start together would read at the
        # same time and then not at all for a whole interval. Exponentially
        # distributed intervals keep the total read rate even.
        self._next_reads[place] = now + int(
            self._random.expovariate(1 / mean_interval)
        )
        factor = self._random.uniform(_MINIMUM_JITTER, _MAXIMUM_JITTER)
        self._next_fallback_reads[place] = now + int(fallback_interval * factor)

    def handle(self, event: object, now: Milliseconds) -> list[ListAction]:
        """Return the actions to carry out in response to an event.

        :param event: a list that was read, an advert or a message.
        :param now: current time.
        """
        if isinstance(event, Received):
            return list(self._handle_message(event.message, event.address, now))
        return list(self._handle(event, now))

    @singledispatchmethod
    def _handle(self, event: object, now: Milliseconds) -> Iterable[ListAction]:
        raise TypeError(f'unknown event {event!r}')

    @_handle.register
    def _handle_list_answer(
        self, event: ListAnswered, now: Milliseconds
    ) -> Iterable[ListAction]:
        state = _ListState(
            event.content, zlib.crc32(event.content), event.asked_at, now
        )
        return self._replace_state(event.place, state)

    @_handle.register
    def _handle_advert(
        self, event: AdvertReceived, now: Milliseconds
    ) -> Iterator[ListAction]:
        if event.asked_at is None:
            return
        for place, advert in enumerate(event.advert.lists[: len(PlatformList)]):
            if advert is not None and self._is_newer(place, advert, event, now):
                yield from self._fetch(event.address, place, now)

    @singledispatchmethod
    def _handle_message(
        self, message: object, address: str, now: Milliseconds
    ) -> Iterable[ListAction]:
        return ()

    @_handle_message.register
    def _handle_fetch(
        self, message: FetchList, address: str, now: Milliseconds
    ) -> Iterator[ListAction]:
        state = self._states.get(message.place)
        if state is not None:
            yield Send(
                address,
                ListContent(
                    message.sequence,
                    message.place,
                    state.content,
                    state.create_advert(now),
                ),
            )

    @_handle_message.register
    def _handle_content(
        self, message: ListContent, address: str, now: Milliseconds
    ) -> Iterator[ListAction]:
        place, asked_at = self._fetches.pop(message.sequence, (None, 0))
        if place is not None and place == message.place:
            state = _ListState(
                message.content,
                zlib.crc32(message.content),
                asked_at - message.advert.oldest,
                now - message.advert.newest,
            )
            yield from self._replace_state(place, state)

    def _is_newer(
        self,
        place: int,
        advert: ListAdvert,
        event: AdvertReceived,
        now: Milliseconds,
    ) -> bool:
        state = self._states.get(place)
        if state is None:
            return event.asked_at is not None
        earliest = (event.asked_at or 0) - advert.oldest
        if state.digest != advert.digest:
            return earliest > state.latest
        state.earliest = max(state.earliest, earliest)
        state.latest = max(state.latest, now - advert.newest)
        return False

    def _replace_state(
        self, place: int, state: _ListState
    ) -> Iterator[ListAction]:
        known = self._states.get(place)
        if known is not None and state.earliest <= known.latest:
            return
        self._states[place] = state
        if known is None or known.digest != state.digest:
            yield ListChanged(place, state.content)

    def _fetch(
        self, address: str, place: int, now: Milliseconds
    ) -> Iterator[ListAction]:
        timeout = self._options.fetch_timeout
        self._fetches = {
            sequence: fetch
            for sequence, fetch in self._fetches.items()
            if now - fetch[1] < timeout
        }
        if any(fetch[0] == place for fetch in self._fetches.values()):
            return
        self._sequence += 1
        self._fetches[self._sequence] = (place, now)
        yield Send(address, FetchList(self._sequence, place))
