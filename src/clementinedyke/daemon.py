"""Builds the application of an entry daemon."""

from functools import partial

import trio

from clementinedyke.application import Application
from clementinedyke.callers import CallerHandler
from clementinedyke.components import Component
from clementinedyke.configuration_component import ConfigurationComponent
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http_client import Address, HttpClient
from clementinedyke.http_server import HttpServer
from clementinedyke.platform.tables import TableClient
from clementinedyke.settings import Settings


class CallerPort(Component):
    """Serves callers on the daemon's caller port."""

    def __init__(self, settings: Settings, handler: CallerHandler) -> None:
        """Create the port.

        :param settings: settings of the daemon.
        :param handler: handler of requests.
        """
        self._settings = settings
        self._server = HttpServer(handler.respond)
        self._bound = 0

    @property
    def bound_port(self) -> int:
        """TCP port that was bound, 0 before the start."""
        return self._bound

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port.

        :param nursery: nursery that runs the server.
        """
        settings = self._settings
        serve = partial(self._server.serve, settings.host, settings.port)
        self._bound = await nursery.start(serve)


class Daemon:
    """The components of an entry daemon and the application that runs them."""

    def __init__(self, settings: Settings) -> None:
        """Build the daemon; nothing is opened yet.

        :param settings: validated settings.
        """
        platform = HttpClient(Address.parse(settings.platform))
        self.configuration = ConfigurationComponent(TableClient(platform))
        self.endpoints = EndpointRegistry(platform)
        handler = CallerHandler(self.configuration, self.endpoints)
        self.caller_port = CallerPort(settings, handler)
        self.application = Application(
            [self.configuration, self.endpoints, self.caller_port]
        )
