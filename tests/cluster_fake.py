"""Fake network of control nodes in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import (
    ConfigurationOptions,
    ListAnswered,
    Poll,
    PollAnswered,
    PollFailed,
    ReadList,
)
from clementinedyke.configuration.messages import ConfigurationRow
from clementinedyke.control.messages import Member, Message
from clementinedyke.members.control_node import ControlNode
from clementinedyke.members.events import (
    Leave,
    MembershipOptions,
    Received,
    Send,
    Tick,
)

DECODER = msgspec.msgpack.Decoder(Message)
TICK: Milliseconds = 200


class FakeTable:
    """Fake records table that can fail or answer from an older state."""

    def __init__(self) -> None:
        self.rows: dict[str, ConfigurationRow] = {}
        self.revision = 0
        self.version = 0
        self.is_down = False
        #: Revision of all answers, as after a fail-over to an old replica.
        self.stuck_at: int | None = None
        self.reads = 0
        #: Number of reads of platform lists, whether answered or not.
        self.list_reads = 0
        self.lists = [b'[]', b'[]']

    def write(self, key: str, value: Any) -> int:
        """Write a row and return its version."""
        self.revision += 1
        self.version = self.revision
        self.rows[key] = ConfigurationRow(key, self.revision, value)
        return self.revision

    def read(self, poll: Poll) -> PollAnswered | PollFailed:
        """Return the rows that a poll asks for, or its failure."""
        self.reads += 1
        if self.is_down:
            return PollFailed(poll.number)
        self.revision += 1  # other tables are written between polls
        shown = self.revision if self.stuck_at is None else self.stuck_at
        rows = [
            row
            for row in self.rows.values()
            if poll.since < row.version <= shown
        ]
        return PollAnswered(poll.number, shown, rows)


@dataclass
class FakeDaemon:
    """A control node with its own clock that can be paused."""

    node: ControlNode
    member: Member
    offset: Milliseconds
    is_frozen: bool = False
    undelivered: list[tuple[str, bytes]] = field(default_factory=list)
    sent: list[int] = field(default_factory=lambda: [0, 0])

    def list_ring(self) -> list[Member]:
        """Return the members that the daemon considers living."""
        view = self.node.membership.view
        return view.table.list_ring()

    def get_version(self) -> int:
        """Return the version of the rows that the daemon has."""
        configuration = self.node.configuration
        return configuration.feed.records.version

    def count_topic(self, topic: str) -> int:
        """Return the number of values that the daemon has for a topic."""
        view = self.node.membership.view
        return len(view.payloads.list_topic(topic))

    def get_age(self, now: Milliseconds) -> Milliseconds:
        """Return the age of the confirmation in milliseconds, 0 without one."""
        feed = self.node.configuration.feed
        return feed.get_age(now + self.offset) or 0


class FakeNetwork:
    """Delivers messages with loss, delay, duplication and partitions."""

    def __init__(
        self,
        seed: int,
        membership: MembershipOptions | None = None,
        configuration: ConfigurationOptions | None = None,
    ) -> None:
        self.now: Milliseconds = 0
        self.table = FakeTable()
        self.daemons: dict[str, FakeDaemon] = {}
        self.loss: float = 0
        self.duplication: float = 0
        self.delay = (1, 3)
        self.cut_zones: set[str] = set()
        self.storeless_zones: set[str] = set()
        self.on_step: Callable[[], None] = lambda: None
        self.membership = membership or MembershipOptions()
        self.configuration = configuration or ConfigurationOptions()
        self._random = random.Random(seed)
        self._queue: list[tuple[Milliseconds, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._encoder = msgspec.msgpack.Encoder()

    def start(self, number: int, zone: str, host: str = '') -> str:
        """Start or restart a daemon and return its identity."""
        name = f'10.0.{number // 250}.{number % 250}:7000'
        seeds = [f'10.0.0.{seed}:7000' for seed in range(3)]
        run = 1_700_000_000_000 + self.now
        member = Member(
            name, host or f'host-{number}', 'r', zone, name, run, run
        )
        node = ControlNode(
            member,
            seeds,
            random.Random(self._random.random()),
            self.membership,
            self.configuration,
        )
        offset = self._random.randrange(10_000_000)
        daemon = FakeDaemon(node, member, offset)
        self.daemons[name] = daemon
        first = self.now + self._random.randrange(TICK)
        self._schedule(first, lambda: self._tick(name, daemon))
        return name

    def kill(self, name: str) -> None:
        """Stop a daemon without an announcement."""
        self.daemons.pop(name)

    def leave(self, name: str) -> None:
        """Stop a daemon after it has announced that it leaves."""
        self.feed(name, Leave())
        self.kill(name)

    def thaw(self, name: str) -> None:
        """Resume a paused daemon and deliver the messages that arrived."""
        daemon = self.daemons[name]
        daemon.is_frozen = False
        for sender, data in daemon.undelivered:
            self.deliver(sender, name, data)
        daemon.undelivered.clear()

    def run(self, duration: Milliseconds) -> None:
        """Advance the virtual time and run all steps that become due."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            when, _, step = heapq.heappop(self._queue)
            self.now = when
            step()
        self.now = end
        self.on_step()

    def is_fresh(self, name: str) -> bool:
        """Return whether the key state of a daemon is fresh."""
        daemon = self.daemons[name]
        return daemon.node.configuration.is_key_state_fresh(
            self.now + daemon.offset
        )

    def feed(self, name: str, event: object) -> None:
        """Pass an event to a daemon and execute the resulting actions."""
        daemon = self.daemons[name]
        for action in daemon.node.handle(event, self.now + daemon.offset):
            if isinstance(action, Send):
                self._send(daemon, action)
            elif isinstance(action, Poll | ReadList):
                self._read(name, daemon, action)

    def _schedule(self, when: Milliseconds, step: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), step))

    def _tick(self, name: str, daemon: FakeDaemon) -> None:
        if self.daemons.get(name) is not daemon:
            return
        if not daemon.is_frozen:
            self.feed(name, Tick())
        self._schedule(self.now + TICK, lambda: self._tick(name, daemon))

    def _send(self, sender: FakeDaemon, send: Send) -> None:
        data = self._encoder.encode(send.message)
        sender.sent[0] += 1
        sender.sent[1] += len(data)
        source = sender.member.address
        copies = 1 + (self._random.random() < self.duplication)
        for _ in range(copies):
            if self._random.random() >= self.loss:
                arrival = self.now + self._random.randint(*self.delay)
                step = partial(self.deliver, source, send.address, data)
                self._schedule(arrival, step)

    def deliver(self, sender: str, target: str, data: bytes) -> None:
        """Deliver an encoded message if the target runs and is reachable."""
        daemon = self.daemons.get(target)
        if daemon is None or self._is_cut(sender, target):
            return
        if daemon.is_frozen:
            daemon.undelivered.append((sender, data))
        else:
            self.feed(target, Received(sender, DECODER.decode(data)))

    def _is_cut(self, sender: str, target: str) -> bool:
        source = self.daemons.get(sender)
        if source is None:
            return False
        zones = {
            source.member.availability_zone,
            self.daemons[target].member.availability_zone,
        }
        return len(zones) == 2 and bool(zones & self.cut_zones)

    def _read(
        self, name: str, daemon: FakeDaemon, read: Poll | ReadList
    ) -> None:
        began = self.now + daemon.offset
        arrival = self.now + self._random.randint(*self.delay)
        step = partial(self._arrive, name, daemon, read, began)
        self._schedule(arrival, step)

    def _arrive(
        self,
        name: str,
        daemon: FakeDaemon,
        read: Poll | ReadList,
        began: Milliseconds,
    ) -> None:
        zone = daemon.member.availability_zone
        if zone in self.storeless_zones:
            return
        answer: object
        self.table.list_reads += isinstance(read, ReadList)
        if isinstance(read, Poll):
            answer = self.table.read(read)
        elif self.table.is_down:
            return
        else:
            self.table.reads += 1
            content = self.table.lists[read.place]
            answer = ListAnswered(read.place, content, began)
        returns = self.now + self._random.randint(*self.delay)
        self._schedule(returns, partial(self._finish, name, daemon, answer))

    def _finish(self, name: str, daemon: FakeDaemon, answer: object) -> None:
        if self.daemons.get(name) is daemon and not daemon.is_frozen:
            self.feed(name, answer)
