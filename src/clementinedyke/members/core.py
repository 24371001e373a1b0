"""SWIM-like failure detection and dissemination of updates."""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import (
    Gossip,
    Member,
    MemberState,
    StateUpdates,
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

#: Number of members that get gossip at each tick while updates are queued.
_GOSSIP_TARGETS = 2
#: A process that was paused for longer has missed replies to its probes.
_PAUSE_THRESHOLD: Milliseconds = 1000
#: Reconnect interval of a daemon that knows no other living daemon.
_ISOLATED_RECONNECT_INTERVAL: Milliseconds = 1000


@dataclass(slots=True)
class _Schedule:
    last_tick: Milliseconds | None = None
    next_probe: Milliseconds = 0
    next_sync: Milliseconds = 0
    next_reconnect: Milliseconds = 0


class Membership:
    """Probes members, gossips updates and synchronises with other daemons.

    Time is passed to each call; messages are returned as actions.
    """

    def __init__(
        self,
        own: Member,
        seeds: Sequence[str],
        random_source: random.Random,
        options: MembershipOptions,
    ) -> None:
        """Create the membership core of one daemon.

        :param own: record of this daemon; ``incarnation`` equals ``run``.
        :param seeds: addresses of the daemons to contact first.
        :param random_source: seeded random generator.
        :param options: intervals and sizes.
        """
        self.view = MemberView(own, options)
        self.seeds = tuple(seeds)
        self._random = random_source
        self._options = options
        self.prober = Prober(self.view, random_source, options)
        self._message_handler = PeerMessageHandler(self.view, self.prober)
        self._schedule = _Schedule()

    def handle(self, event: object, now: Milliseconds) -> list[Action]:
        """Update the state with an event and return the actions to execute.

        :param event: an event of ``members.events``.
        :param now: current time on the clock of the process.
        :raises TypeError: for an event of an unknown class.
        """
        return list(self._handle(event, now))

    @singledispatchmethod
    def _handle(self, event: object, now: Milliseconds) -> Iterable[Action]:
        raise TypeError(f'unknown membership event {event!r}')

    @_handle.register
    def _tick(self, event: Tick, now: Milliseconds) -> Iterator[Action]:
        schedule = self._schedule
        self._compensate_pause(now)
        yield from self.prober.expire(now)
        yield from self.view.expire(now)
        if now >= schedule.next_probe:
            schedule.next_probe = now + self._options.probe_interval
            yield from self.prober.probe_neighbours(now)
        if now >= schedule.next_sync and self._options.sync:
            yield from self._sync(now)
        if now >= schedule.next_reconnect and self._options.sync:
            yield from self._reconnect(now)
        if self.view.has_member_updates:
            yield from self._send_gossip()

    @_handle.register
    def _leave(self, event: Leave, now: Milliseconds) -> Iterator[Action]:
        neighbours = self.view.list_neighbours()
        self.view.leave(now)
        for neighbour in neighbours:
            updates = StateUpdates(members=(self.view.own,))
            yield Send(neighbour.address, Gossip(updates))

    @_handle.register
    def _publish(self, event: Publish, now: Milliseconds) -> Iterable[Action]:
        self.view.payloads.publish(event.topic, event.content)
        return ()

    @_handle.register
    def _receive(self, event: Received, now: Milliseconds) -> Iterable[Action]:
        return self._message_handler.handle_message(
            event.message, event.address, now
        )

    def _compensate_pause(self, now: Milliseconds) -> None:
        last = self._schedule.last_tick
        self._schedule.last_tick = now
        if last is not None and now - last > _PAUSE_THRESHOLD:
            self.prober.clear()
            self.view.postpone(now - last)

    def _sync(self, now: Milliseconds) -> Iterator[Action]:
        self._schedule.next_sync = now + self._options.sync_interval
        own = self.view.own.address
        living = [member.address for member in self.view.table.list_ring()]
        others = [address for address in living if address != own]
        if others:
            yield self._create_sync(self._random.choice(others))

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add seed addresses; those already known are ignored.

        :param addresses: addresses of daemon ports.
        """
        self.seeds = tuple(dict.fromkeys((*self.seeds, *addresses)))

    def _reconnect(self, now: Milliseconds) -> Iterator[Action]:
        ring = self.view.table.list_ring()
        interval = self._options.reconnect_interval
        if len(ring) < 2:
            interval = _ISOLATED_RECONNECT_INTERVAL
        self._schedule.next_reconnect = now + interval
        living = {member.address for member in ring}
        unreachable = [
            member.address
            for member in self.view.table.list_members()
            if member.state is MemberState.DEAD
        ]
        unreachable.extend(seed for seed in self.seeds if seed not in living)
        if unreachable:
            yield self._create_sync(self._random.choice(unreachable))

    def _create_sync(self, address: str) -> Send:
        sync = Sync(
            self.view.table.compute_digests(),
            self.view.own,
            self.view.payloads.compute_digests(),
        )
        return Send(address, sync)

    def _send_gossip(self) -> Iterator[Action]:
        neighbours = self.view.list_neighbours()
        count = min(_GOSSIP_TARGETS, len(neighbours))
        for target in self._random.sample(neighbours, count):
            yield Send(target.address, Gossip(self.view.pop_updates()))
