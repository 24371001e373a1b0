"""Directory of the records that the control cores hold."""

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
    """Answers the calls of ``ConfigurationComponent`` from shared records."""

    def __init__(self, control: ControlComponent, clock: Clock) -> None:
        """Follow a control component.

        :param control: component that receives the records.
        :param clock: clock of the process, the same as the component's.
        """
        self._control = control
        self._clock = clock
        self._parsed: dict[str, tuple[int, Any]] = {}
        self._directory: Directory | None = None
        control.observers.append(self._observe)

    def get_directory(self) -> Directory:
        """Return the records in force, also when they are old.

        :raises RequestError: if no configuration was read yet.
        """
        if self._directory is None:
            raise RequestError(
                ResultCode.NOT_READY, 'no configuration was read yet'
            )
        return self._directory

    def is_key_state_fresh(self) -> bool:
        """Return whether keyed requests may be accepted."""
        core = self._get_core()
        return core is not None and core.is_key_state_fresh(
            self._clock.get_now()
        )

    def is_ready(self) -> bool:
        """Return whether the records are as new as those of any peer."""
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
            known = self._parsed.get(row.key)
            if known is None or known[0] != row.version:
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
