"""Directory compiled from the records of the control cores."""

from typing import Any

from absl import logging

from clementinedyke.clock import Clock
from clementinedyke.codes import ResultCode
from clementinedyke.configuration.core import ConfigurationCore
from clementinedyke.configuration.events import RecordsChanged
from clementinedyke.configuration.messages import ConfigurationRow
from clementinedyke.daemons.component import Change, ControlComponent
from clementinedyke.exceptions import RecordError
from clementinedyke.http.server import RequestError
from clementinedyke.records.core import parse_record
from clementinedyke.records.directory import Directory


class DirectorySource:
    """Provides ``ConfigurationComponent`` with the directory and its state."""

    def __init__(self, control: ControlComponent, clock: Clock) -> None:
        """Subscribe to the record changes of a control component.

        :param control: component that receives the records.
        :param clock: clock of the process; must be the one that the control
            component uses.
        """
        self._control = control
        self._clock = clock
        self._parsed: dict[str, tuple[int, Any]] = {}
        self._directory: Directory | None = None
        control.observers.append(self._observe)

    def get_directory(self) -> Directory:
        """Return the directory of the latest known records, even if stale.

        :raises RequestError: with NOT_READY if no records were received yet.
        """
        if self._directory is None:
            raise RequestError(
                ResultCode.NOT_READY, 'no configuration was read yet'
            )
        return self._directory

    def is_key_state_fresh(self) -> bool:
        """Return whether the API keys are recent enough to accept requests."""
        core = self._get_core()
        return core is not None and core.is_key_state_fresh(
            self._clock.get_now()
        )

    def is_ready(self) -> bool:
        """Return whether the records are as recent as those of every peer."""
        core = self._get_core()
        if core is None or self._directory is None:
            return False
        return core.is_ready(self._clock.get_now())

    def _get_core(self) -> ConfigurationCore | None:
        node = self._control.node
        return None if node is None else node.configuration

    def _observe(self, change: Change) -> None:
        core = self._get_core()
        if core is None or not isinstance(change, RecordsChanged):
            return
        for row in core.feed.records.rows.values():
            cached = self._parsed.get(row.key)
            if cached is None or cached[0] != row.version:
                self._parsed[row.key] = (row.version, _parse(row))
        records = [
            record for _, record in self._parsed.values() if record is not None
        ]
        self._directory = Directory.compile(change.version, records)


def _parse(row: ConfigurationRow) -> Any:
    if row.value is None:
        return None
    try:
        return parse_record(row.value)
    except RecordError as error:
        logging.error('event=record_ignored key=%s reason="%s"', row.key, error)
    return None
