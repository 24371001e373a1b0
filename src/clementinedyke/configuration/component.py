"""Publishes the records and endpoints that the control cores hold."""

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
        self._source = DirectorySource(control, clock)
        self._endpoints = endpoints
        self._was_ready = False
        control.observers.append(self._observe)

    def get_directory(self) -> Directory:
        """Return the records in force.

        :raises RequestError: until the records were once as new as those of
            any peer.
        """
        if not self.is_ready():
            raise RequestError(
                ResultCode.NOT_READY, 'no configuration was confirmed yet'
            )
        return self._source.get_directory()

    def is_ready(self) -> bool:
        """Return whether the records were once as new as those of any peer.

        A daemon that is cut off later stays ready: it serves open routes and
        refuses keyed requests by itself when its key state is too old.
        """
        self._was_ready = self._was_ready or self._source.is_ready()
        return self._was_ready

    def is_key_state_fresh(self) -> bool:
        """Return whether keyed requests may be accepted."""
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
