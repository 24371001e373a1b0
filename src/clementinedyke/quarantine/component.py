"""Shares the evidence about lost endpoints through table ``suspects``.

Evidence does not fit into a published value: one endpoint can be lost with
tens of fingerprints aboard, and each value replaces the former one. A daemon
writes rows and publishes the revision of the commit. The others read the
changes when they hear of a newer revision, so the reads are at most one per
daemon and loss. In case a value was missed, each daemon also reads every 30 s:
11 reads/s at 330 daemons.
"""

import msgspec
import trio
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.daemons import ControlComponent
from clementinedyke.daemons.component import Change
from clementinedyke.members.events import PayloadChanged
from clementinedyke.quarantine.core import Evidence
from clementinedyke.reference_platform.tables import (
    ABSENT,
    Commit,
    Condition,
    TableClient,
    Write,
)
from clementinedyke.routing.component import RoutingComponent

SUSPECTS_TABLE = 'suspects'
_TOPIC = 'suspects'
_READ_INTERVAL: Milliseconds = 30_000
_RETRY_INTERVAL: Milliseconds = 500
_MILLISECONDS_PER_SECOND = 1000
_REVISION_BYTES = 8
#: Evidence that waits for the store; more than a whole zone's streams.
_QUEUE_LENGTH = 10_000


class SuspectRow(msgspec.Struct, frozen=True):
    """Value of a row of table ``suspects``."""

    endpoint_id: str
    boot_id: str
    fingerprint: str
    is_crash: bool


class EvidenceComponent(Component):
    """Writes this daemon's evidence and reads that of the others."""

    def __init__(
        self,
        control: ControlComponent,
        routing: RoutingComponent,
        tables: TableClient,
    ) -> None:
        """Create the component and observe evidence and published values.

        :param control: publishes values and receives those of others.
        :param routing: finds and judges evidence.
        :param tables: client of the table service.
        """
        self._control = control
        self._routing = routing
        self._tables = tables
        #: Revision up to which this daemon has read, and the newest known.
        self._since = 0
        self._heard = 0
        self._news = trio.Event()
        channel = trio.open_memory_channel[tuple[Evidence, ...]](_QUEUE_LENGTH)
        self._outgoing = channel[0]
        self._queued = channel[1]
        routing.evidence_observers.append(self._queue)
        control.observers.append(self._observe)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start reading and writing.

        :param nursery: nursery that runs the tasks.
        """
        nursery.start_soon(self._write_forever)
        nursery.start_soon(self._read_forever)

    def _queue(self, evidence: tuple[Evidence, ...]) -> None:
        try:
            self._outgoing.send_nowait(evidence)
        except trio.WouldBlock:
            logging.error('event=evidence_dropped count=%d', len(evidence))

    def _observe(self, change: Change) -> None:
        if not isinstance(change, PayloadChanged):
            return
        if change.payload.topic != _TOPIC:
            return
        revision = int.from_bytes(change.payload.content, 'big')
        if revision > self._heard:
            self._heard = revision
            self._news.set()

    async def _write_forever(self) -> None:
        async for evidence in self._queued:
            writes = [_compile_write(item) for item in evidence]
            while not await self._write(writes):
                await trio.sleep(_RETRY_INTERVAL / _MILLISECONDS_PER_SECOND)

    async def _write(self, writes: list[Write]) -> bool:
        # Every daemon that sees an engine come back finds the same evidence;
        # only the first one writes it and makes the others read.
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
        self._control.publish(_TOPIC, content)
        return True

    async def _read_forever(self) -> None:
        while True:
            self._news = trio.Event()
            is_read = await self._read()
            if self._since < self._heard:
                # The store did not answer, or not with all that was told of.
                await trio.sleep(_RETRY_INTERVAL / _MILLISECONDS_PER_SECOND)
                continue
            limit = _READ_INTERVAL if is_read else _RETRY_INTERVAL
            with trio.move_on_after(limit / _MILLISECONDS_PER_SECOND):
                await self._news.wait()

    async def _read(self) -> bool:
        answer = await self._tables.get_changes(SUSPECTS_TABLE, self._since)
        if answer.is_err():
            return False
        changes = answer.unwrap()
        rows = [
            msgspec.convert(row.value, SuspectRow)
            for row in changes.rows
            if row.value is not None
        ]
        self._since = changes.revision
        if rows:
            self._routing.receive_evidence(tuple(map(_compile_evidence, rows)))
        return True


def _compile_write(evidence: Evidence) -> Write:
    # Rows are written once, so a loss and its proof as a crash are two rows.
    kind = 'crash' if evidence.is_crash else 'loss'
    boot = f'{evidence.endpoint_id}/{evidence.boot_id}'
    key = f'{boot}/{evidence.fingerprint}/{kind}'
    row = SuspectRow(
        evidence.endpoint_id,
        evidence.boot_id,
        evidence.fingerprint,
        evidence.is_crash,
    )
    return Write(SUSPECTS_TABLE, key, row)


def _compile_evidence(row: SuspectRow) -> Evidence:
    return Evidence(row.endpoint_id, row.boot_id, row.fingerprint, row.is_crash)
