"""Changes records and reads records and audit rows."""

import uuid
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from result import Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.operators.change import ChangeCore
from clementinedyke.operators.change_actions import (
    Outcome,
    ReadAudit,
    ReadRows,
    SendCommit,
)
from clementinedyke.operators.change_events import (
    AuditRead,
    AuditReadFailed,
    Change,
    CommitAnswered,
    CommitFailed,
    Event,
    ReadFailed,
    RowsRead,
    Started,
)
from clementinedyke.operators.transaction import (
    AUDIT_TABLE,
    GUARD_KEY,
    GUARD_TABLE,
    NO_ROW,
    RECORDS_TABLE,
)
from clementinedyke.reference_platform.tables import (
    Row,
    Snapshot,
    TableClient,
)


class RecordService:
    """Creates, replaces, deletes and reads records in the table service."""

    def __init__(self, tables: TableClient) -> None:
        """Create the service.

        :param tables: client of the table service.
        """
        self._tables = tables

    async def change(
        self,
        key: str,
        content: Mapping[str, Any] | None,
        expected_version: int,
        operator: str,
    ) -> Outcome:
        """Write or delete a record and return the outcome.

        :param key: row key, ``KIND/NAME``.
        :param content: new record; None deletes the record.
        :param expected_version: current version, 0 if the record is new.
        :param operator: name of the operator, for the audit row.
        """
        now = datetime.now(UTC).isoformat(timespec='milliseconds')
        core = ChangeCore(
            Change(
                key=key,
                content=content,
                expected_version=expected_version,
                operator=operator,
                time=now,
                nonce=uuid.uuid4().hex,
            )
        )
        action = core.handle(Started())
        while isinstance(action, ReadRows | SendCommit | ReadAudit):
            action = core.handle(await self._execute(action))
        return action

    async def get(self, key: str) -> Result[Row | None, TableFailure]:
        """Return the row of a record, None if there is none.

        :param key: row key, ``KIND/NAME``.
        """
        return await self._tables.get_row(RECORDS_TABLE, key)

    async def list(self, prefix: str) -> Result[Snapshot, TableFailure]:
        """Return the rows of the records whose key starts with a prefix.

        :param prefix: start of the row keys.
        """
        return await self._tables.list_rows(RECORDS_TABLE, prefix)

    async def list_audit(self, prefix: str) -> Result[Snapshot, TableFailure]:
        """Return the audit rows of a period of time.

        The version of an audit row is the version that its change gave the
        record.

        :param prefix: start of the UTC time, for example ``2026-12-03``.
        """
        return await self._tables.list_rows(AUDIT_TABLE, prefix)

    async def _execute(
        self, action: ReadRows | SendCommit | ReadAudit
    ) -> Event:
        if isinstance(action, SendCommit):
            return await self._commit(action)
        if isinstance(action, ReadAudit):
            row = await self._tables.get_row(AUDIT_TABLE, action.key)
            return (
                AuditReadFailed() if row.is_err() else AuditRead(row.unwrap())
            )
        return await self._read_rows()

    async def _commit(self, action: SendCommit) -> Event:
        answer = await self._tables.commit(action.conditions, action.writes)
        if answer.is_err():
            return CommitFailed(answer.unwrap_err())
        return CommitAnswered(answer.unwrap())

    async def _read_rows(self) -> Event:
        guard = await self._tables.get_row(GUARD_TABLE, GUARD_KEY)
        if guard.is_err():
            return ReadFailed()
        records = await self._tables.list_rows(RECORDS_TABLE)
        if records.is_err():
            return ReadFailed()
        return RowsRead(
            guard_version=(guard.unwrap() or NO_ROW).version,
            rows={row.key: row for row in records.unwrap().rows},
        )
