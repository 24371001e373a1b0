"""Shares the evidence about lost endpoints through table ``suspects``.

Evidence does not fit into a published value: an endpoint can be lost with tens
of requests running, and each value replaces the previous one. Instead, a
daemon writes rows and publishes the revision of the commit. The other daemons
read the changes when they receive a newer revision, which is at most one read
per daemon and loss. Since a value may be missed, each daemon also reads every
30 s, which is 11 reads/s with 330 daemons.
"""

import trio
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.daemons import ControlComponent
from clementinedyke.daemons.component import Change
from clementinedyke.members.events import PayloadChanged
from clementinedyke.quarantine.core import Evidence
from clementinedyke.quarantine.rows import (
    SUSPECTS_TABLE,
    SuspectRow,
    compile_evidence,
    compile_write,
)
from clementinedyke.reference_platform.tables import (
    ABSENT,
    Commit,
    Condition,
    TableClient,
    Write,
)
from clementinedyke.routing.component import RoutingComponent
from clementinedyke.rows import convert_row

_REVISION_TOPIC = 'suspects'
_READ_INTERVAL: Milliseconds = 30_000
_RETRY_INTERVAL: Milliseconds = 500
_MILLISECONDS_PER_SECOND = 1000
_REVISION_BYTES = 8
#: Batches of evidence waiting to be written; more than the streams of an
#: availability zone, so that the loss of a whole zone fits.
_QUEUE_LENGTH = 10_000


class EvidenceComponent(Component):
    """Writes the evidence of this daemon and reads that of the others."""

    def __init__(
        self,
        control: ControlComponent,
        routing: RoutingComponent,
        tables: TableClient,
    ) -> None:
        """Create the component and subscribe to evidence and revisions.

        :param control: publishes values and receives those of other daemons.
        :param routing: produces local evidence and applies remote evidence.
        :param tables: client of the table service.
        """
        self._control = control
        self._routing = routing
        self._tables = tables
        #: Revision up to which this daemon has read, and the newest announced.
        self._read_revision = 0
        self._newest_revision = 0
        self._revision_announced = trio.Event()
        channel = trio.open_memory_channel[tuple[Evidence, ...]](_QUEUE_LENGTH)
        self._sender = channel[0]
        self._receiver = channel[1]
        routing.evidence_observers.append(self._enqueue)
        control.observers.append(self._observe)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that write and read evidence.

        :param nursery: nursery that runs the tasks.
        """
        nursery.start_soon(self._run_writer)
        nursery.start_soon(self._run_reader)

    def _enqueue(self, evidence: tuple[Evidence, ...]) -> None:
        try:
            self._sender.send_nowait(evidence)
        except trio.WouldBlock:
            logging.error('event=evidence_dropped count=%d', len(evidence))

    def _observe(self, change: Change) -> None:
        if not isinstance(change, PayloadChanged):
            return
        if change.payload.topic != _REVISION_TOPIC:
            return
        revision = int.from_bytes(change.payload.content, 'big')
        if revision > self._newest_revision:
            self._newest_revision = revision
            self._revision_announced.set()

    async def _run_writer(self) -> None:
        async for evidence in self._receiver:
            writes = [compile_write(item) for item in evidence]
            while not await self._write(writes):
                await trio.sleep(_RETRY_INTERVAL / _MILLISECONDS_PER_SECOND)

    async def _write(self, writes: list[Write]) -> bool:
        # Every daemon that detects the restart of an engine has the same
        # evidence. Only the first one to write it makes the others read.
        conditions = [
            Condition(SUSPECTS_TABLE, write.key, ABSENT) for write in writes
        ]
        answer = await self._tables.commit(conditions, writes)
        if answer.is_err():
            return False
        outcome = answer.unwrap()
        if not isinstance(outcome, Commit):
            present = {conflict.key for conflict in outcome.conflicts}
            missing = [write for write in writes if write.key not in present]
            return await self._write(missing) if missing else True
        content = outcome.revision.to_bytes(_REVISION_BYTES, 'big')
        self._control.publish(_REVISION_TOPIC, content)
        return True

    async def _run_reader(self) -> None:
        while True:
            self._revision_announced = trio.Event()
            is_read = await self._read()
            if self._read_revision < self._newest_revision:
                # The read failed or did not reach the announced revision.
                await trio.sleep(_RETRY_INTERVAL / _MILLISECONDS_PER_SECOND)
                continue
            limit = _READ_INTERVAL if is_read else _RETRY_INTERVAL
            with trio.move_on_after(limit / _MILLISECONDS_PER_SECOND):
                await self._revision_announced.wait()

    async def _read(self) -> bool:
        answer = await self._tables.get_changes(
            SUSPECTS_TABLE, self._read_revision
        )
        if answer.is_err():
            return False
        changes = answer.unwrap()
        found = (
            convert_row(SUSPECTS_TABLE, row, SuspectRow)
            for row in changes.rows
            if row.value is not None
        )
        rows = [row for row in found if row is not None]
        self._read_revision = changes.revision
        if rows:
            self._routing.receive_evidence(tuple(map(compile_evidence, rows)))
        return True
