"""Gives other components access to the replicated records and endpoints."""

from absl import logging

from clementinedyke.clock import Clock
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.configuration.events import ListChanged
from clementinedyke.control.platform_lists import PlatformList
from clementinedyke.daemons import ControlComponent, DirectorySource
from clementinedyke.daemons.component import Change
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.message import RequestError
from clementinedyke.records.directory import Directory


class ConfigurationComponent(Component):
    """Provides the current records and updates the endpoint registry."""

    def __init__(
        self,
        control: ControlComponent,
        endpoints: EndpointRegistry,
        clock: Clock,
    ) -> None:
        """Create the component and observe the control cores.

        :param control: control cores of this daemon.
        :param endpoints: registry that is updated from the platform's list.
        :param clock: clock of this process.
        """
        self._source = DirectorySource(control, clock)
        self._endpoints = endpoints
        self._was_ready = False
        control.observers.append(self._observe)

    def get_directory(self) -> Directory:
        """Return the current records.

        :raises RequestError: until the records have been up to date with
            those of all known peers once.
        """
        if not self.is_ready():
            raise RequestError(
                ResultCode.NOT_READY, 'no configuration was confirmed yet'
            )
        return self._source.get_directory()

    def is_ready(self) -> bool:
        """Return whether the records have ever been up to date.

        A daemon that loses its connections later stays ready: it still serves
        open routes, and it refuses keyed requests once its key state is older
        than ``key_max_age``.
        """
        self._was_ready = self._was_ready or self._source.is_ready()
        return self._was_ready

    def is_key_state_fresh(self) -> bool:
        """Return whether the key state is recent enough for keyed requests."""
        return self._source.is_key_state_fresh()

    def _observe(self, change: Change) -> None:
        if not isinstance(change, ListChanged):
            return
        if change.place != PlatformList.ENDPOINTS:
            return
        try:
            self._endpoints.replace(change.content)
        except ProtocolError as error:
            logging.error('event=endpoint_list_ignored reason="%s"', error)
