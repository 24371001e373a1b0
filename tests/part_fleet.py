"""Daemons, engines and prompts on virtual time, for the tests of parts."""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec
from tests.entry_samples import create_journal

from clementinedyke.clock import ManualClock
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.suspects import Suspects
from clementinedyke.http.client import Address
from clementinedyke.quarantine.core import Evidence
from clementinedyke.quarantine.parts import PartVerdict
from clementinedyke.quarantine.rows import compile_row

_LATENCY = 2
_UPDATE_INTERVAL = 100
#: Datagrams that a daemon sends per second, as in production.
_DATAGRAMS_PER_SECOND = 60
_GIVE_UP = 500
_EXAMINATION = 3
_MIN_END_DELAY = 20
_ROW_LATENCY = 20
#: Header of an IP packet with UDP, in bytes.
_HEADER_BYTES = 28


@dataclass
class Attempt:
    """A request in flight at an engine."""

    daemon: int
    engine: int
    run: int
    parts: tuple[str, ...]
    sent_at: int


@dataclass
class FleetOptions:
    """Size and troubles of the fleet; rates in requests a second."""

    daemons: int = 7
    engines: int = 5
    fatal_rate: float = 1
    harmless_rate: float = 18
    lost_share: float = 0
    #: Parts that end engines; each is in the prompts of one kind of request.
    fatal_parts: tuple[str, ...] = ('fatal',)
    #: Rate of ends of engines without a cause in the requests.
    end_rate: float = 0
    #: Instant from which requests with fatal parts come.
    fatal_from: int = 5000
    kill_rate: float = 0
    #: Engines end this long after they begin to write on a fatal part, at the
    #: most.
    end_delay: int = 100
    #: Least and greatest time of a harmless answer, and of a restart.
    run_time: tuple[int, int] = (150, 900)
    restart_time: tuple[int, int] = (2500, 4500)


@dataclass
class PartFleet:
    """Runs requests through the parts of daemons that decide on them.

    ``ends`` has the instants of the ends of engines under each fatal part,
    ``sends`` those of the sends of requests with it. ``outcomes`` has the
    instant of each harmless request and whether it began at its first attempt,
    without those that came while no engine served.
    ``bytes_sent`` counts the bytes that daemons sent for prompt parts.
    """

    options: FleetOptions
    seed: int
    now: int = 0
    ends: dict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )
    sends: dict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )
    outcomes: list[tuple[int, bool]] = field(default_factory=list)
    bytes_sent: int = 0
    stored: set[Evidence] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Create daemons without evidence, and engines that run."""
        self.generator = Random(self.seed)
        self._numbers = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._starts = [1 for _ in range(self.options.engines)]
        self._running: dict[str, Attempt] = {}
        #: Instant from which each engine serves.
        self._up_from = [0 for _ in range(self.options.engines)]
        self.tables = [
            self._create_table(number) for number in range(self.options.daemons)
        ]
        peers = self.options.daemons - 1
        self.interval = max(
            _UPDATE_INTERVAL, peers * 1000 // _DATAGRAMS_PER_SECOND
        )
        for number in range(self.options.daemons):
            delay = self.generator.randrange(self.interval)
            self._schedule(delay, partial(self._send_regularly, number))
        for rate, action in (
            (self.options.harmless_rate, self._send_harmless),
            (self.options.fatal_rate, self._send_fatal),
            (self.options.end_rate, self._end_any),
            (self.options.kill_rate, self._kill_any),
        ):
            if rate:
                self._repeat(rate, action)

    def run(self, until: int) -> None:
        """Process all events up to an instant in ms."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()

    def count_late_sends(self, part: str, ends: int, margin: int) -> int:
        """Return the sends of a part later than a margin after some end."""
        if len(self.ends[part]) < ends:
            return 0
        since = self.ends[part][ends - 1] + margin
        return sum(moment > since for moment in self.sends[part])

    def get_begun_share(self, since: int, until: int) -> float:
        """Return the share of harmless requests that began at once."""
        begun = [has for at, has in self.outcomes if since <= at < until]
        return sum(begun) / max(1, len(begun))

    def _schedule(self, delay: int, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now + delay, next(self._numbers), action)
        )

    def _repeat(self, rate: float, action: Callable[[], None]) -> None:
        def act() -> None:
            action()
            self._repeat(rate, action)

        delay = round(self.generator.expovariate(rate) * 1000)
        self._schedule(delay, act)

    def _create_table(self, number: int) -> Suspects:
        table = Suspects(create_journal(ManualClock()), f'host-{number:03}')
        table.storage_observers.append(self._store)
        table.parts.clearance_observers.append(self._delete)

        def announce() -> None:
            self._schedule(2, lambda: self._send_update(number, table))

        table.parts.urgent_observers.append(announce)
        table.urgent_observers.append(lambda evidence: announce())
        return table

    def _store(self, evidence: list[Evidence]) -> None:
        new = [item for item in evidence if item not in self.stored]
        if not new:
            return
        self.stored.update(new)
        for table in self.tables:
            self._schedule(_ROW_LATENCY, partial(self._read_rows, table))

    def _delete(self, labels: frozenset[str]) -> None:
        self.stored = {
            item for item in self.stored if item.fingerprint not in labels
        }

    def _read_rows(self, table: Suspects) -> None:
        table.receive_evidence(tuple(self.stored), self.now)

    def _examine(self, table: Suspects, target: EntryEndpoint) -> None:
        table.record_refused_connection(target, self.now)

    def _send_regularly(self, number: int) -> None:
        self._send_update(number, self.tables[number])
        self._schedule(self.interval, lambda: self._send_regularly(number))

    def _send_update(self, number: int, table: Suspects) -> None:
        if table is not self.tables[number]:
            return
        evidence = table.pop_unsent(self.now)
        cleared = table.parts.pop_cleared()
        tried = table.parts.pop_trials()
        if not (evidence or cleared or tried):
            return
        rows = [compile_row(item) for item in evidence]
        payload = msgspec.msgpack.encode((rows, cleared, tried))
        for receiver, other in enumerate(self.tables):
            if receiver == number:
                continue
            self.bytes_sent += len(payload) + _HEADER_BYTES
            if self.generator.random() < self.options.lost_share:
                continue
            news = (f'host-{number:03}', evidence, cleared, tried)
            self._schedule(_LATENCY, partial(self._receive, other, *news))

    def _receive(
        self,
        table: Suspects,
        sender: str,
        evidence: list[Evidence],
        cleared: list[str],
        tried: list[str],
    ) -> None:
        table.receive_evidence(evidence, self.now)
        table.parts.receive_trials(sender, tried, self.now)
        table.parts.receive_cleared(cleared, self.now)

    def _send_harmless(self) -> None:
        parts = ('rules', self.generator.choice(('a', 'b', 'c')))
        self._admit(parts, self.now)

    def _send_fatal(self) -> None:
        if self.now < self.options.fatal_from:
            return
        part = self.generator.choice(self.options.fatal_parts)
        parts = ['rules', self.generator.choice(('a', 'b', 'c'))]
        parts.insert(self.generator.randrange(3), part)
        self._admit(tuple(parts), self.now)

    def _admit(self, parts: tuple[str, ...], admitted_at: int) -> None:
        daemon = self.generator.randrange(self.options.daemons)
        request_id = f'r-{next(self._numbers)}'
        self._try(request_id, daemon, parts, admitted_at)

    def _try(
        self, request_id: str, daemon: int, parts: tuple[str, ...], since: int
    ) -> None:
        table = self.tables[daemon]
        verdict = table.parts.get_verdict(parts, self.now)
        wait = 0
        if verdict is PartVerdict.TRIAL:
            wait = table.parts.get_trial_wait(request_id, parts, self.now)
        if verdict is PartVerdict.CONVICTED or self.now - since > _GIVE_UP:
            self._finish(table, request_id, parts, has_begun=False)
        elif wait:
            self._schedule(
                wait, lambda: self._try(request_id, daemon, parts, since)
            )
        else:
            self._send(request_id, daemon, parts)

    def _finish(
        self,
        table: Suspects,
        request_id: str,
        parts: tuple[str, ...],
        *,
        has_begun: bool,
    ) -> None:
        table.parts.end_trial(request_id)
        if not set(parts).intersection(self.options.fatal_parts):
            self.outcomes.append((self.now, has_begun))

    def _send(
        self, request_id: str, daemon: int, parts: tuple[str, ...]
    ) -> None:
        table = self.tables[daemon]
        serving = [
            number
            for number, since in enumerate(self._up_from)
            if since <= self.now
        ]
        if not serving:
            table.parts.end_trial(request_id)
            return
        engine = self.generator.choice(serving)
        attempt = Attempt(daemon, engine, self._starts[engine], parts, self.now)
        self._running[request_id] = attempt
        fatal = set(parts).intersection(self.options.fatal_parts)
        for part in fatal:
            self.sends[part].append(self.now)
        if fatal:
            delay = self.generator.randrange(
                _MIN_END_DELAY, self.options.end_delay
            )
            self._schedule(delay, lambda: self._crash(attempt, fatal.pop()))
            return
        self.outcomes.append((self.now, True))
        self._schedule(
            self.generator.randrange(*self.options.run_time),
            lambda: self._complete(request_id, table),
        )

    def _complete(self, request_id: str, table: Suspects) -> None:
        attempt = self._running.pop(request_id, None)
        if attempt is None or table is not self.tables[attempt.daemon]:
            return
        table.parts.end_trial(request_id)
        table.parts.record_completion(attempt.parts, self.now)

    def _crash(self, attempt: Attempt, part: str) -> None:
        if self._starts[attempt.engine] != attempt.run:
            return
        self.ends[part].append(self.now)
        self._end(attempt.engine)

    def _end_any(self) -> None:
        self._end(self.generator.randrange(self.options.engines))

    def _end(self, engine: int) -> None:
        target = self._get_endpoint(engine)
        lost = [
            request_id
            for request_id, attempt in self._running.items()
            if attempt.engine == engine
        ]
        owners: dict[int, Suspects] = {}
        for request_id in lost:
            attempt = self._running.pop(request_id)
            table = self.tables[attempt.daemon]
            labels = table.parts.compile_labels(request_id, attempt.parts)
            table.record_lost_answer(target, request_id, self.now, labels)
            table.parts.end_trial(request_id)
            owners[attempt.daemon] = table
        for table in owners.values():
            self._schedule(_EXAMINATION, partial(self._examine, table, target))
        self._starts[engine] += 1
        restart = self.generator.randrange(*self.options.restart_time)
        self._up_from[engine] = self.now + restart

    def _kill_any(self) -> None:
        """Kill a daemon; the next one there knows what is in the store."""
        number = self.generator.randrange(self.options.daemons)
        self._running = {
            request_id: attempt
            for request_id, attempt in self._running.items()
            if attempt.daemon != number
        }
        table = self._create_table(number)
        self.tables[number] = table
        self._schedule(_ROW_LATENCY, partial(self._read_rows, table))

    def _get_endpoint(self, number: int) -> EntryEndpoint:
        start = self._starts[number]
        return EntryEndpoint(
            f'i-{number}-{start}',
            'chat',
            Address('127.0.0.1', number + 1),
            'zone-a',
            slots=64,
            started_at=start,
        )
