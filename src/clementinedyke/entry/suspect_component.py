"""Examines lost answers, and keeps the evidence in the store."""

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from functools import partial

import trio
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.endpoint_connections import check_listening
from clementinedyke.entry.examination import Examination
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.suspects import Suspects
from clementinedyke.quarantine.core import Evidence, QuarantineSettings
from clementinedyke.quarantine.rows import (
    SUSPECTS_TABLE,
    SuspectRow,
    compile_evidence,
    compile_write,
)
from clementinedyke.rows import Commit, RowStore, Write, convert_row
from clementinedyke.tasks import run_guarded, run_restarting

#: Delay before a failed call of the store is repeated, which doubles up to the
#: maximum.
_MIN_RETRY: Milliseconds = 250
_MAX_RETRY: Milliseconds = 1000
#: Rows in a transaction; the store accepts 100.
_MAX_WRITES = 100
#: Rows that wait to be written while the store is away.
_MAX_UNWRITTEN = 1000
#: Age at which a row is ignored and deleted. Daemons forget evidence then too.
_ROW_LIFETIME: Milliseconds = QuarantineSettings().retention
_MILLISECONDS_PER_SECOND = 1000
#: Names of the results of an examination in the metrics.
_RESULTS = {True: 'listening', False: 'ended', None: 'unknown'}


class ExaminationCounts(Collector):
    """Connections made to find out why an answer was lost."""

    def __init__(self) -> None:
        """Create all counts at zero."""
        self._results: Counter[str] = Counter()

    def record_examination(self, *, is_listening: bool | None) -> None:
        """Count an examination.

        :param is_listening: whether a process listens, None if unknown.
        """
        self._results[_RESULTS[is_listening]] += 1

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counts to the metrics registry."""
        family = CounterMetricFamily(
            'clementinedyke_entry_endpoint_examinations',
            'Connections made to see why an answer was lost, by result.',
            labels=('result',),
        )
        for result, count in self._results.items():
            family.add_metric((result,), count)
        yield family


class SuspectComponent(Component):
    """Runs the tasks behind :class:`Suspects`.

    Evidence against suspects is kept in table ``suspects``, so that it outlives
    the daemons. Daemons read the table at their start, and when another one
    announces a newer commit, since datagrams with evidence may be lost.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        journal: Journal,
        owner: str = '',
    ) -> None:
        """Create the component.

        :param store: store with table ``suspects``.
        :param clock: clock of the host.
        :param journal: log of reads and writes.
        :param owner: name of this daemon.
        """
        #: Evidence of this daemon.
        self.suspects = Suspects(journal, owner)
        self._store = store
        self._clock = clock
        self._journal = journal
        self._nursery: trio.Nursery | None = None
        #: Examinations in progress by run id of the endpoint.
        self._examinations: dict[str, Examination] = {}
        self._unwritten: dict[str, Write] = {}
        #: Rows in the store by key, None if another daemon wrote them.
        self._written: dict[str, Write | None] = {}
        self._has_unwritten = trio.Event()
        self._read_revision = -1
        #: Revision of the newest commit to the table that is known.
        self.newest_revision = 0
        self._has_newer = trio.Event()
        self.counts = ExaminationCounts()
        #: Returns whether a process listens at an endpoint, None if unknown.
        self.check_listening = check_listening
        #: Returns Unix time in milliseconds, 0 if rows are kept for ever.
        self.get_unix: Callable[[], int] = int
        self.suspects.parts.clearance_observers.append(self._delete_evidence)
        self.suspects.storage_observers.append(self._store_evidence)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks.

        :param nursery: nursery that runs the tasks.
        """
        self._nursery = nursery
        nursery.start_soon(
            run_restarting, self._run_reader, 'suspect_component.reader'
        )
        nursery.start_soon(
            run_restarting, self._run_writer, 'suspect_component.writer'
        )

    def examine(self, endpoint: EntryEndpoint) -> Examination:
        """Find out whether a process listens at an endpoint's address.

        :param endpoint: endpoint that may have ended.
        """
        examination = self._examinations.get(endpoint.run_id)
        if examination is None:
            examination = Examination(self._clock.get_now())
            if self._nursery is None:
                examination.finish(is_listening=None)
                return examination
            self._examinations[endpoint.run_id] = examination
            check = partial(self._check_listening, endpoint, examination)
            self._nursery.start_soon(run_guarded, check, 'examination')
        return examination

    async def check_running(self, endpoint: EntryEndpoint) -> bool | None:
        """Return whether a process listens at an endpoint's address now.

        None if it is not known.

        :param endpoint: endpoint that may have ended.
        """
        asked_at = self._clock.get_now()
        while True:
            examination = self.examine(endpoint)
            await examination.wait()
            # A connection that was opened earlier shows only an earlier state.
            is_current = examination.started_at >= asked_at
            if is_current or examination.is_listening is False:
                return examination.is_listening

    def _store_evidence(self, evidence: Sequence[Evidence]) -> None:
        for item in evidence:
            write = compile_write(item, self.get_unix())
            if write.key not in self._written:
                self._unwritten[write.key] = write
        while len(self._unwritten) > _MAX_UNWRITTEN:
            dropped = self._unwritten.pop(next(iter(self._unwritten)))
            self._journal.write('evidence_dropped', key=dropped.key)
        if self._unwritten:
            self._has_unwritten.set()

    def _delete_evidence(self, labels: frozenset[str]) -> None:
        """Delete the rows of parts that were in a complete answer."""
        for key in (*self._written, *self._unwritten):
            if labels.intersection(key.split('/')):
                self._delete_row(key)

    def _delete_row(self, key: str) -> None:
        self._written.pop(key, None)
        self._unwritten[key] = Write(SUSPECTS_TABLE, key)
        self._has_unwritten.set()

    def record_revision(self, revision: int) -> None:
        """Record the newest commit that another daemon knows of.

        :param revision: revision of the store.
        """
        if revision > self.newest_revision:
            self.newest_revision = revision
            self._has_newer.set()

    def record_return(self) -> None:
        """Write again what this daemon has written.

        For a store that returned from a copy that may lack it.
        """
        for key, write in self._written.items():
            if write is not None:
                self._unwritten.setdefault(key, write)
        if self._unwritten:
            self._has_unwritten.set()

    async def _check_listening(
        self, endpoint: EntryEndpoint, examination: Examination
    ) -> None:
        is_listening: bool | None = None
        try:
            is_listening = await self.check_listening(endpoint)
        finally:
            self._examinations.pop(endpoint.run_id)
            examination.finish(is_listening=is_listening)
        self.counts.record_examination(is_listening=is_listening)
        self._journal.write(
            'endpoint_examined',
            endpoint=endpoint.endpoint_id,
            listening=is_listening,
        )
        if is_listening is False:
            self.suspects.record_refused_connection(
                endpoint, self._clock.get_now()
            )

    async def _run_writer(self) -> None:
        delay = _MIN_RETRY
        while True:
            await self._has_unwritten.wait()
            if await self._write():
                delay = _MIN_RETRY
                continue
            await trio.sleep(delay / _MILLISECONDS_PER_SECOND)
            delay = min(_MAX_RETRY, 2 * delay)

    async def _write(self) -> bool:
        writes = list(self._unwritten.values())[:_MAX_WRITES]
        answer = await self._store.commit([], writes)
        outcome = answer.unwrap() if answer.is_ok() else None
        if not isinstance(outcome, Commit):
            return False
        for write in writes:
            if self._unwritten.get(write.key) is write:
                self._unwritten.pop(write.key)
            if write.value is not None:
                self._written[write.key] = write
        if not self._unwritten:
            self._has_unwritten = trio.Event()
        self.newest_revision = max(self.newest_revision, outcome.revision)
        self._journal.write(
            'evidence_written', rows=len(writes), revision=outcome.revision
        )
        return True

    async def _run_reader(self) -> None:
        delay = _MIN_RETRY
        while True:
            if self._read_revision >= self.newest_revision:
                self._has_newer = trio.Event()
                await self._has_newer.wait()
            if await self._read():
                delay = _MIN_RETRY
                continue
            await trio.sleep(delay / _MILLISECONDS_PER_SECOND)
            delay = min(_MAX_RETRY, 2 * delay)

    def _is_expired(self, row: SuspectRow) -> bool:
        age = self.get_unix() - row.written_at
        return row.written_at > 0 and age >= _ROW_LIFETIME

    async def _read(self) -> bool:
        announced = self.newest_revision
        answer = await self._store.list_rows(SUSPECTS_TABLE)
        if answer.is_err():
            return False
        snapshot = answer.unwrap()
        evidence = []
        for row in snapshot.rows:
            decoded = convert_row(SUSPECTS_TABLE, row, SuspectRow)
            if decoded is None:
                continue
            if self._is_expired(decoded):
                self._delete_row(row.key)
                continue
            evidence.append(compile_evidence(decoded))
            self._written.setdefault(row.key)
        self.suspects.receive_evidence(evidence, self._clock.get_now())
        # A store that returned from an older copy never reaches the revision.
        self._read_revision = max(announced, snapshot.revision)
        self._journal.write(
            'evidence_read', rows=len(evidence), revision=snapshot.revision
        )
        return True
