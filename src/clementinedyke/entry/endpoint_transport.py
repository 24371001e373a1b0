"""Reaches endpoints directly, or through other daemons if links are lost."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from absl import logging

from clementinedyke.clock import Clock
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.direct_path import DirectPath
from clementinedyke.entry.endpoint_connections import (
    EndpointConnections,
    check_listening,
)
from clementinedyke.entry.path_monitor import PathMonitor
from clementinedyke.entry.relay_client import NoRelayError, RelayClient
from clementinedyke.exceptions import (
    AnswerLostError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import HttpRequest, ResponseStream


class EndpointTransport:
    """Sends requests to endpoints on the way that works."""

    def __init__(
        self,
        connections: EndpointConnections,
        path: DirectPath,
        monitor: PathMonitor,
        relays: RelayClient,
        clock: Clock,
    ) -> None:
        """Create a transport without connections.

        :param connections: connections to the endpoints.
        :param path: state of the links to the endpoints.
        :param monitor: checks the links.
        :param relays: reaches endpoints through other daemons.
        :param clock: clock of the host.
        """
        self._connections = connections
        self._path = path
        self._monitor = monitor
        self._relays = relays
        self._clock = clock

    @asynccontextmanager
    async def open_response(
        self,
        endpoint: EntryEndpoint,
        request: HttpRequest,
        *,
        needs_new: bool = False,
    ) -> AsyncIterator[ResponseStream]:
        """Send a request and yield its answer as a stream.

        Leaving the context before the end of the answer closes the
        connection, which stops the work at the endpoint.

        :param endpoint: endpoint to reach.
        :param request: request with its complete body.
        :param needs_new: whether the request must have a connection that
            carried none before.
        :raises PeerUnavailableError: if the request was not sent.
        :raises AnswerLostError: if the request may have run.
        :raises ProtocolError: if the endpoint sent no valid answer.
        """
        async with AsyncExitStack() as stack:
            yield await self._enter(
                stack, endpoint, request, needs_new=needs_new
            )

    async def check_listening(self, endpoint: EntryEndpoint) -> bool | None:
        """Return whether a process listens at an endpoint.

        A refused connection may be due to a lost link, so another daemon is
        asked too. None if it is not known.

        :param endpoint: endpoint to examine.
        """
        is_listening: bool | None = None
        if not self._path.is_lost:
            is_listening = await check_listening(endpoint)
            if is_listening:
                return True
        is_lost = await self._monitor.check_is_lost()
        if is_listening is None and not is_lost:
            return None
        try:
            confirmed = await self._relays.check_listening(endpoint)
        except (PeerUnavailableError, AnswerLostError, ProtocolError) as error:
            logging.info('event=endpoint_not_confirmed error=%s', error)
            confirmed = None
        return is_listening if confirmed is None and not is_lost else confirmed

    def has_connection(self, endpoint: EntryEndpoint) -> bool:
        """Return whether an endpoint can be reached without a new connection.

        :param endpoint: endpoint to look up.
        """
        return self._path.is_lost or self._connections.has_idle(endpoint)

    async def close_stale(self, current_runs: set[str]) -> None:
        """Close the connections to endpoints that no longer exist.

        :param current_runs: run ids of the endpoints that still exist.
        """
        await self._connections.close_stale(current_runs)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._connections.close_stale(set())
        await self._relays.close()

    async def _enter(
        self,
        stack: AsyncExitStack,
        endpoint: EntryEndpoint,
        request: HttpRequest,
        *,
        needs_new: bool,
    ) -> ResponseStream:
        if not self._path.is_lost:
            try:
                return await self._enter_direct(
                    stack, endpoint, request, needs_new=needs_new
                )
            except PeerUnavailableError:
                if not await self._monitor.check_is_lost():
                    raise
        try:
            return await self._relays.enter_response(
                stack, endpoint, request, needs_new=needs_new
            )
        except NoRelayError:
            return await self._enter_direct(
                stack, endpoint, request, needs_new=needs_new
            )

    async def _enter_direct(
        self,
        stack: AsyncExitStack,
        endpoint: EntryEndpoint,
        request: HttpRequest,
        *,
        needs_new: bool,
    ) -> ResponseStream:
        client = self._connections.get_client(endpoint)
        self._path.record_send(self._clock.get_now())
        try:
            stream = await stack.enter_async_context(
                client.open_response(request, needs_new=needs_new)
            )
        finally:
            self._path.record_end()
        self._path.record_answer(self._clock.get_now())
        return stream
