"""Keeps the records in force up to date with the table service."""

import trio
from absl import logging

from clementinedyke.clock import Milliseconds, MonotonicClock
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.directory import Directory
from clementinedyke.exceptions import RecordError
from clementinedyke.http_server import RequestError
from clementinedyke.platform.tables import Row, TableClient
from clementinedyke.records import parse_record

RECORDS_TABLE = 'records'
_POLL_INTERVAL: Milliseconds = 1000
_MILLISECONDS_PER_SECOND = 1000
_KEY_MAX_AGE: Milliseconds = 8000


class ConfigurationComponent(Component):
    """Polls the records table and publishes a directory."""

    def __init__(self, tables: TableClient) -> None:
        """Create the component.

        :param tables: client of the table service.
        """
        self._tables = tables
        self._clock = MonotonicClock()
        self._rows: dict[str, Row] = {}
        self._directory: Directory | None = None
        self._revision = 0
        self._confirmed_at: Milliseconds | None = None

    def is_key_state_fresh(self) -> bool:
        """Return whether keyed requests may be accepted."""
        if self._confirmed_at is None:
            return False
        return self._clock.get_now() - self._confirmed_at <= _KEY_MAX_AGE

    def get_directory(self) -> Directory:
        """Return the records in force.

        :raises RequestError: if no configuration was read yet.
        """
        if self._directory is None:
            raise RequestError(
                ResultCode.NOT_READY, 'no configuration was read yet'
            )
        return self._directory

    async def start(self, nursery: trio.Nursery) -> None:
        """Start polling.

        :param nursery: nursery that runs the poll.
        """
        await self._poll()
        nursery.start_soon(self._poll_forever)

    async def _poll_forever(self) -> None:
        while True:
            await trio.sleep(_POLL_INTERVAL / _MILLISECONDS_PER_SECOND)
            await self._poll()

    async def _poll(self) -> None:
        asked_at = self._clock.get_now()
        changes = await self._tables.get_changes(RECORDS_TABLE, self._revision)
        if changes.is_err():
            return
        self._confirmed_at = asked_at
        snapshot = changes.unwrap()
        if self._directory is not None and not snapshot.rows:
            return
        for row in snapshot.rows:
            self._rows[row.key] = row
        self._revision = max(self._revision, snapshot.revision)
        self._directory = Directory.compile(self._revision, self._parse_rows())

    def _parse_rows(self) -> list[object]:
        records: list[object] = []
        for row in self._rows.values():
            if row.value is None:
                continue
            try:
                records.append(parse_record(row.value))
            except RecordError as error:
                logging.error(
                    'event=record_ignored key=%s reason="%s"', row.key, error
                )
        return records
