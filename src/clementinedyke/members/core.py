"""Failure detection and dissemination among daemons, SWIM-like."""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import (
    Gossip,
    Member,
    MemberState,
    News,
    Sync,
)
from clementinedyke.members.events import (
    Action,
    Leave,
    MembershipOptions,
    Publish,
    Received,
    Send,
    Tick,
)
from clementinedyke.members.message_handler import PeerMessageHandler
from clementinedyke.members.prober import Prober
from clementinedyke.members.view import MemberView

_GOSSIP_TARGETS = 2
#: A process that did not run for this long has missed answers.
_PAUSE: Milliseconds = 1000
#: Sync interval of a daemon that knows no other.
_LONELY_INTERVAL: Milliseconds = 1000


@dataclass(slots=True)
class _Timetable:
    last_tick: Milliseconds | None = None
    next_probe: Milliseconds = 0
    next_sync: Milliseconds = 0
    next_reconnect: Milliseconds = 0


class Membership:
    """Probes members, spreads news and compares views."""

    def __init__(
        self,
        own: Member,
        seeds: Sequence[str],
        random_source: random.Random,
        options: MembershipOptions,
    ) -> None:
        """Create the core of one daemon.

        :param own: record of this daemon; its incarnation is its run.
        :param seeds: addresses to contact first.
        :param random_source: seeded source of choices.
        :param options: intervals and sizes.
        """
        self.view = MemberView(own, options)
        self.seeds = tuple(seeds)
        self._random = random_source
        self._options = options
        self.prober = Prober(self.view, random_source, options)
        self._answers = PeerMessageHandler(self.view, self.prober)
        self._timetable = _Timetable()

    def handle(self, event: object, now: Milliseconds) -> list[Action]:
        """Return the actions that an event calls for.

        :param event: one of the classes of ``membership_events``.
        :param now: current instant on this process's clock.
        """
        return list(self._handle(event, now))

    @singledispatchmethod
    def _handle(self, event: object, now: Milliseconds) -> Iterable[Action]:
        raise TypeError(f'unknown event {event!r}')

    @_handle.register
    def _tick(self, event: Tick, now: Milliseconds) -> Iterator[Action]:
        timetable = self._timetable
        self._forgive_pause(now)
        yield from self.prober.expire(now)
        yield from self.view.expire(now)
        if now >= timetable.next_probe:
            timetable.next_probe = now + self._options.probe_interval
            yield from self.prober.probe_neighbours(now)
        if now >= timetable.next_sync and self._options.sync:
            yield from self._sync(now)
        if now >= timetable.next_reconnect and self._options.sync:
            yield from self._reconnect(now)
        if self.view.has_member_updates:
            yield from self._spread()

    @_handle.register
    def _leave(self, event: Leave, now: Milliseconds) -> Iterator[Action]:
        neighbours = self.view.list_neighbours()
        self.view.leave(now)
        for neighbour in neighbours:
            news = News(members=(self.view.own,))
            yield Send(neighbour.address, Gossip(news))

    @_handle.register
    def _publish(self, event: Publish, now: Milliseconds) -> Iterable[Action]:
        self.view.payloads.publish(event.topic, event.content)
        return ()

    @_handle.register
    def _receive(self, event: Received, now: Milliseconds) -> Iterable[Action]:
        return self._answers.handle_message(event.message, event.address, now)

    def _forgive_pause(self, now: Milliseconds) -> None:
        last = self._timetable.last_tick
        self._timetable.last_tick = now
        if last is not None and now - last > _PAUSE:
            self.prober.clear()
            self.view.postpone(now - last)

    def _sync(self, now: Milliseconds) -> Iterator[Action]:
        self._timetable.next_sync = now + self._options.sync_interval
        own = self.view.own.address
        living = [member.address for member in self.view.table.list_ring()]
        others = [address for address in living if address != own]
        if others:
            yield self._compare_with(self._random.choice(others))

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Take further addresses to contact.

        :param addresses: addresses of daemon ports, known ones included.
        """
        self.seeds = tuple(dict.fromkeys((*self.seeds, *addresses)))

    def _reconnect(self, now: Milliseconds) -> Iterator[Action]:
        ring = self.view.table.list_ring()
        interval = self._options.reconnect_interval
        if len(ring) < 2:
            interval = _LONELY_INTERVAL
        self._timetable.next_reconnect = now + interval
        living = {member.address for member in ring}
        lost = [
            member.address
            for member in self.view.table.list_members()
            if member.state is MemberState.DEAD
        ]
        lost.extend(seed for seed in self.seeds if seed not in living)
        if lost:
            yield self._compare_with(self._random.choice(lost))

    def _compare_with(self, address: str) -> Send:
        sync = Sync(
            self.view.table.compute_digests(),
            self.view.own,
            self.view.payloads.compute_digests(),
        )
        return Send(address, sync)

    def _spread(self) -> Iterator[Action]:
        neighbours = self.view.list_neighbours()
        count = min(_GOSSIP_TARGETS, len(neighbours))
        for target in self._random.sample(neighbours, count):
            yield Send(target.address, Gossip(self.view.take_news()))
