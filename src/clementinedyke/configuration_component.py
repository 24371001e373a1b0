"""Publishes the records in force from the control cores of a daemon."""

from absl import logging

from clementinedyke.clock import Clock
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.configuration_events import ListChanged, RecordsChanged
from clementinedyke.daemons.component import Change, ControlComponent
from clementinedyke.directory import Directory
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.exceptions import ProtocolError, RecordError
from clementinedyke.http_message import RequestError
from clementinedyke.platform_lists import PlatformList
from clementinedyke.records import Record, parse_record


class ConfigurationComponent(Component):
    """Turns changes of records and platform lists into their users' form."""

    def __init__(
        self,
        control: ControlComponent,
        endpoints: EndpointRegistry,
        clock: Clock,
    ) -> None:
        """Create the component and observe the control cores.

        :param control: control cores of this daemon.
        :param endpoints: takes the platform's list of endpoints.
        :param clock: clock of this process.
        """
        self._control = control
        self._endpoints = endpoints
        self._clock = clock
        self._directory: Directory | None = None
        self._was_ready = False
        control.observers.append(self._observe)

    def get_directory(self) -> Directory:
        """Return the records in force.

        :raises RequestError: until the records were once as new as those of
            any peer.
        """
        if self._directory is None or not self.is_ready():
            raise RequestError(
                ResultCode.NOT_READY, 'no configuration was confirmed yet'
            )
        return self._directory

    def is_ready(self) -> bool:
        """Return whether the records were once as new as those of any peer."""
        node = self._control.node
        if not self._was_ready and node is not None:
            now = self._clock.get_now()
            self._was_ready = node.configuration.is_ready(now)
        return self._was_ready

    def is_key_state_fresh(self) -> bool:
        """Return whether keyed requests may be accepted."""
        node = self._control.node
        if node is None:
            return False
        return node.configuration.is_key_state_fresh(self._clock.get_now())

    def _observe(self, change: Change) -> None:
        if isinstance(change, RecordsChanged):
            self._compile_directory(change.version)
        elif isinstance(change, ListChanged):
            self._update_endpoints(change)

    def _update_endpoints(self, change: ListChanged) -> None:
        if change.place != PlatformList.ENDPOINTS:
            return
        try:
            self._endpoints.replace(change.content)
        except ProtocolError as error:
            logging.error('event=endpoint_list_ignored reason="%s"', error)

    def _compile_directory(self, version: int) -> None:
        node = self._control.node
        if node is None:
            return
        records: list[Record] = []
        feed = node.configuration.feed
        for row in feed.records.rows.values():
            if row.value is None:
                continue
            try:
                records.append(parse_record(row.value))
            except RecordError as error:
                logging.error(
                    'event=record_ignored key=%s reason="%s"', row.key, error
                )
        self._directory = Directory.compile(version, records)
