"""One account for the memory of all requests and answers of a process."""

import enum
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from clementinedyke.clock import Milliseconds
from clementinedyke.exceptions import MemoryShortError

#: Memory that is reserved for each open connection: tasks, buffers and data.
CONNECTION_BYTES = 163840
#: Part of it for the data of its request and answer. The largest bodies and
#: answers in the workload sheets have 100 KB.
FREE_BYTES = 102400
#: Limit of an account whose process has no setting for it.
DEFAULT_LIMIT = 268435456
#: Smallest limit, with which one body of 4 MiB still fits.
MIN_LIMIT = 16777216
#: Bounds of the part of the limit that all connections share. The rest is for
#: copies that exist for a moment, and for memory that the allocator can't
#: reuse.
_MAX_SHARED = 0.75
_MIN_SHARED = 0.125
#: Largest part of the limit for answers: a faulty endpoint may send without
#: end.
_MAX_ANSWERS = 0.125
#: Part of the limit that bodies and answers each leave to the other.
_FLOOR = 0.0625
#: Part of the limit that an eviction frees beyond what is needed. Without it,
#: each read of a body would search all connections while memory is short.
_HEADROOM = 0.03125
#: A request of which nothing has arrived for this long gives way first. On the
#: narrowest link of the users a body of 64 KB takes 0.1 s.
_STALL_TIME: Milliseconds = 1000
#: Shortest time between two reports to the observers.
_REPORT_INTERVAL: Milliseconds = 1000


class Kind(enum.Enum):
    """What a holding is for."""

    BODY = 'body'
    ANSWER = 'answer'


class Stage(enum.IntEnum):
    """Progress of a request; those that come first are evicted first."""

    RECEIVING = 0
    WHOLE = 1
    #: It may have run, or there is none: never evicted.
    PASSED_ON = 2


@dataclass(frozen=True, slots=True)
class Charges:
    """Shared bytes that a connection uses, by kind."""

    bodies: int = 0
    answers: int = 0

    @property
    def total(self) -> int:
        """Bytes of both kinds."""
        return self.bodies + self.answers


_NO_CHARGES = Charges()


@dataclass(frozen=True, slots=True)
class ShortageReport:
    """What a shortage of memory has cost since the last report.

    ``used`` and ``limit`` are the shared bytes now in use and allowed.
    """

    evicted: int
    refused_bodies: int
    refused_answers: int
    used: int
    limit: int


class Holding:
    """Bytes that a request or an answer keeps in memory."""

    __slots__ = ('_memory', 'kind', 'size')

    def __init__(self, memory: 'ConnectionMemory', kind: Kind) -> None:
        """Create a holding; only :class:`ConnectionMemory` does so."""
        self._memory = memory
        self.kind = kind
        self.size = 0

    def resize(self, size: int, now: Milliseconds) -> None:
        """Change the number of bytes.

        :param size: bytes that are in memory from now on.
        :param now: current instant.
        :raises MemoryShortError: if there is no memory for them, or if the
            request has been evicted.
        """
        before = self.size
        self.size = size
        try:
            self._memory.update(now)
        except MemoryShortError:
            self.size = before
            raise

    def close(self) -> None:
        """Give all bytes back; the holding may be resized again."""
        self.size = 0
        self._memory.shrink()


class ConnectionMemory:
    """Memory of one connection, of which the first bytes are reserved.

    ``owner`` is the address of the caller, or its customer once known.
    """

    def __init__(self, account: 'MemoryAccount', owner: str) -> None:
        """Create it without holdings; only :class:`MemoryAccount` does so."""
        self._account = account
        self._holdings: list[Holding] = []
        self.owner = owner
        self.stage = Stage.PASSED_ON
        self.is_evicted = False
        #: Makes the connection give up its request.
        self.evict: Callable[[], object] = bool
        self.charges = _NO_CHARGES
        self.updated_at: Milliseconds = 0

    def begin_request(self) -> Holding:
        """Return the holding of the body that is about to be received."""
        self.stage = Stage.RECEIVING
        return self.open_holding(Kind.BODY)

    def complete_body(self) -> None:
        """Record that the body of the request is whole."""
        self.stage = Stage.WHOLE

    def pass_on(self) -> None:
        """Record that the request is about to be sent to an endpoint.

        From now on it is not evicted, since it may run.

        :raises MemoryShortError: if the request has been evicted.
        """
        self._check_evicted()
        self.stage = Stage.PASSED_ON

    def end_request(self) -> None:
        """Give back all bytes of a request and its answers."""
        self.stage = Stage.PASSED_ON
        if self._holdings:
            self._holdings.clear()
            self.shrink()

    def open_holding(self, kind: Kind) -> Holding:
        """Return a new holding without bytes.

        :param kind: what the bytes are.
        """
        holding = Holding(self, kind)
        self._holdings.append(holding)
        return holding

    def update(self, now: Milliseconds) -> None:
        """Charge the shared memory with what the holdings need.

        :param now: current instant.
        :raises MemoryShortError: if it does not suffice.
        """
        self._check_evicted()
        needed = self._compute_charges()
        if needed.total > self.charges.total:
            self._account.make_room(self, needed, now)
        self.updated_at = now
        self._account.change_charges(self, needed)

    def shrink(self) -> None:
        """Give back the shared memory that the holdings no longer need."""
        self._account.change_charges(self, self._compute_charges())

    def drop(self) -> None:
        """Evict the request; its bytes are given back at once."""
        self.is_evicted = True
        self.end_request()
        self.evict()

    def close(self) -> None:
        """End the reservation of the connection."""
        self.end_request()
        self._account.discard(self)

    def _check_evicted(self) -> None:
        if self.is_evicted:
            raise MemoryShortError('the request was evicted from memory')

    def _compute_charges(self) -> Charges:
        total = 0
        bodies = 0
        for holding in self._holdings:
            total += holding.size
            if holding.kind is Kind.BODY:
                bodies += holding.size
        if total <= FREE_BYTES:
            return _NO_CHARGES
        charged = max(0, bodies - FREE_BYTES)
        return Charges(charged, total - FREE_BYTES - charged)


class MemoryAccount(Collector):
    """Bounds the memory of all connections of a process together.

    A bound for each request does not limit the memory of a process: hundreds
    of callers may each send a body of legal size and stop before its end.
    Nothing waits for memory, so nothing that holds memory can block.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Create an account of which nothing is used.

        :param limit: bytes for connections, their requests and answers.
        """
        self._limit = max(MIN_LIMIT, limit)
        self._connections: set[ConnectionMemory] = set()
        #: Connections that use shared memory.
        self._charged: set[ConnectionMemory] = set()
        self._used = _NO_CHARGES
        self._shortages: Counter[str] = Counter()
        self._reported: Counter[str] = Counter()
        self._reported_at: Milliseconds | None = None
        #: Called with what a shortage has cost, at most once a second.
        self.observers: list[Callable[[ShortageReport], object]] = []

    @property
    def limit(self) -> int:
        """Bytes for connections, their requests and answers."""
        return self._limit

    @property
    def max_connections(self) -> int:
        """Number of connections with which enough shared memory is left."""
        return compute_max_connections(self._limit)

    @property
    def used(self) -> Charges:
        """Shared bytes in use, by kind."""
        return self._used

    @property
    def shared_limit(self) -> int:
        """Bytes beyond the reserved ones of the open connections."""
        left = self._limit - CONNECTION_BYTES * len(self._connections)
        most = int(self._limit * _MAX_SHARED)
        return max(int(self._limit * _MIN_SHARED), min(most, left))

    def open_connection(self, owner: str) -> ConnectionMemory:
        """Reserve memory for a connection.

        :param owner: address of the caller.
        """
        memory = ConnectionMemory(self, owner)
        self._connections.add(memory)
        return memory

    def discard(self, memory: ConnectionMemory) -> None:
        """Forget a connection; only :class:`ConnectionMemory` calls this."""
        self._connections.discard(memory)
        self._charged.discard(memory)

    def make_room(
        self, memory: ConnectionMemory, needed: Charges, now: Milliseconds
    ) -> None:
        """Evict requests until a connection may use more shared memory.

        :param memory: connection that needs more.
        :param needed: shared bytes that it needs in all.
        :param now: current instant.
        :raises MemoryShortError: if no other request gives way.
        """
        if self._exceeds_answers(memory, needed):
            # The bodies that could be evicted use another part.
            self._refuse(memory, needed, now)
        if self._has_room(memory, needed, 0):
            return
        headroom = int(self._limit * _HEADROOM)
        while not self._has_room(memory, needed, headroom):
            victim = self._select_victim(memory, needed, now)
            if victim is None and self._has_room(memory, needed, 0):
                break
            if victim is None or victim is memory:
                self._refuse(memory, needed, now)
            else:
                self._shortages['evicted'] += 1
                victim.drop()
        self._report(now)

    def change_charges(
        self, memory: ConnectionMemory, charges: Charges
    ) -> None:
        """Record what a connection uses; see :class:`ConnectionMemory`."""
        before = memory.charges
        if charges == before:
            return
        memory.charges = charges
        self._used = Charges(
            self._used.bodies + charges.bodies - before.bodies,
            self._used.answers + charges.answers - before.answers,
        )
        if charges.total:
            self._charged.add(memory)
        else:
            self._charged.discard(memory)

    def collect(self) -> Iterator[Metric]:
        """Return the use of the account to the metrics registry."""
        held = GaugeMetricFamily(
            'clementinedyke_shared_memory_bytes',
            'Bytes of bodies and answers beyond those that are reserved.',
            labels=('kind',),
        )
        held.add_metric((Kind.BODY.value,), self._used.bodies)
        held.add_metric((Kind.ANSWER.value,), self._used.answers)
        yield held
        yield GaugeMetricFamily(
            'clementinedyke_shared_memory_limit_bytes',
            'Bytes that bodies and answers may use beyond reserved ones.',
            value=self.shared_limit,
        )
        shortages = CounterMetricFamily(
            'clementinedyke_memory_shortages',
            'Requests and answers that were given up for lack of memory.',
            labels=('outcome',),
        )
        for outcome, count in self._shortages.items():
            shortages.add_metric((outcome,), count)
        yield shortages

    def _exceeds_answers(
        self, memory: ConnectionMemory, needed: Charges
    ) -> bool:
        """Return whether answers would need more than their part."""
        held = memory.charges.answers
        answers = self._used.answers - held + needed.answers
        left = self.shared_limit - int(self._limit * _FLOOR)
        most = min(left, int(self._limit * _MAX_ANSWERS))
        return needed.answers > held and answers > most

    def _has_room(
        self, memory: ConnectionMemory, needed: Charges, headroom: int
    ) -> bool:
        held = memory.charges
        bodies = self._used.bodies - held.bodies + needed.bodies
        answers = self._used.answers - held.answers + needed.answers
        limit = self.shared_limit - headroom
        left = limit - int(self._limit * _FLOOR)
        if needed.bodies > held.bodies and bodies > left:
            return False
        return bodies + answers <= limit

    def _select_victim(
        self, memory: ConnectionMemory, needed: Charges, now: Milliseconds
    ) -> ConnectionMemory | None:
        """Return the connection whose request gives way, None if none can.

        That is an unfinished one before a whole one, of the owner that holds
        most. Of its requests, it is one that has stalled, then the largest,
        then the slowest.
        """
        owners: Counter[str] = Counter()
        for charged in self._charged:
            owners[charged.owner] += charged.charges.bodies
        owners[memory.owner] += needed.bodies - memory.charges.bodies

        def compute_rank(  # noqa: WPS430
            candidate: ConnectionMemory,
        ) -> tuple[int, bool, int, int, bool]:
            size, updated_at = candidate.charges.bodies, candidate.updated_at
            if candidate is memory:
                size, updated_at = needed.bodies, now
            return (
                owners[candidate.owner],
                now - updated_at >= _STALL_TIME,
                size,
                -updated_at,
                candidate is not memory,
            )

        everyone = self._charged | {memory}
        stage = min(candidate.stage for candidate in everyone)
        if stage is Stage.PASSED_ON:
            return None
        candidates = (each for each in everyone if each.stage is stage)
        return max(candidates, key=compute_rank)

    def _refuse(
        self, memory: ConnectionMemory, needed: Charges, now: Milliseconds
    ) -> None:
        is_answer = needed.answers > memory.charges.answers
        kind = Kind.ANSWER if is_answer else Kind.BODY
        self._shortages[f'{kind.value} refused'] += 1
        self._report(now)
        raise MemoryShortError(
            f'requests and answers need more than {self.shared_limit} bytes'
        )

    def _report(self, now: Milliseconds) -> None:
        last = self._reported_at
        if last is not None and now - last < _REPORT_INTERVAL:
            return
        self._reported_at = now
        recent = self._shortages - self._reported
        self._reported = self._shortages.copy()
        report = ShortageReport(
            recent['evicted'],
            recent[f'{Kind.BODY.value} refused'],
            recent[f'{Kind.ANSWER.value} refused'],
            self._used.total,
            self.shared_limit,
        )
        for observe in self.observers:
            observe(report)


def compute_max_connections(limit: int) -> int:
    """Return the number of connections that leave the least shared memory.

    :param limit: bytes for connections, their requests and answers.
    """
    return int(limit * (1 - _MIN_SHARED)) // CONNECTION_BYTES
