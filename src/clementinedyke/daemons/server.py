"""The daemon port: a grpclib server with bounded connections."""

import asyncio
import hmac
import socket
from collections.abc import Callable
from typing import Any

from absl import logging
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from clementinedyke.clock import Clock
from clementinedyke.control.messages import Message
from clementinedyke.daemons.codec import ControlCodec
from clementinedyke.daemons.links import (
    ADDRESS_HEADER,
    EXCHANGE_METHOD,
    LINK_ERRORS,
    SECRET_HEADER,
    Link,
    Receiver,
    create_http2_configuration,
)
from clementinedyke.daemons.options import ControlOptions

_BACKLOG = 128
_ADDRESS_LIMIT = 64
#: Connections that turn up while the port closes are aborted so often.
_ABORT_INTERVAL_SECONDS = 0.05


def bind_daemon_port(host: str, port: int) -> socket.socket:
    """Return a listening socket on the daemon port.

    Success proves that no other process listens on the address: SO_REUSEPORT
    is off, and SO_REUSEADDR lets Linux pass over closed connections but never
    over a listening socket, not even that of a stopped process.

    :param host: IP number to bind.
    :param port: TCP port, 0 for a free one.
    :raises OSError: if another process listens on the address.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        # Two sockets may share a bind; only one of them can listen.
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


class _BoundedProtocol(H2Protocol):
    """Connection that counts towards the bound of its server."""

    def __init__(self, server: 'ControlServer', base: H2Protocol) -> None:
        super().__init__(base.handler, base.config, base.h2_config)
        self._server = server
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        if self._server.admit(transport):
            self._transport = transport
            super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self._transport is not None:
            super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self._transport is not None:
            self._server.release(self._transport)
            super().connection_lost(exc)


class _BoundedServer(Server):
    """grpclib server whose connections are counted."""

    def __init__(self, owner: 'ControlServer') -> None:
        super().__init__(
            [owner], codec=ControlCodec(), config=create_http2_configuration()
        )
        self._owner = owner

    def _protocol_factory(self) -> H2Protocol:
        return _BoundedProtocol(self._owner, super()._protocol_factory())


class ControlServer:
    """Serves the streams that peers open."""

    def __init__(
        self, options: ControlOptions, clock: Clock, receive: Receiver
    ) -> None:
        """Create a server that is not started.

        :param options: bounds and secrets.
        :param clock: clock of the process.
        :param receive: called with the peer's address and each message.
        """
        self._options = options
        self._clock = clock
        self._receive = receive
        self._links: dict[str, Link] = {}
        #: Transports in order of arrival, and whether a peer proved itself.
        self._transports: dict[Any, bool] = {}
        self._server: Server | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._transports)

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods of the service, as grpclib asks for."""
        return {
            EXCHANGE_METHOD: Handler(
                self._exchange, Cardinality.STREAM_STREAM, None, None
            )
        }

    async def start(self, listener: socket.socket) -> None:
        """Serve connections of a listening socket.

        :param listener: socket of ``bind_daemon_port``.
        """
        self._server = _BoundedServer(self)
        await self._server.start(
            sock=listener, ssl=self._options.create_server_context()
        )

    async def close(self) -> None:
        """Close the port and all connections.

        A connection that was accepted just before the port closed is made
        known only afterwards, and its handler would never end.
        """
        if self._server is None:
            return
        self._server.close()
        waiting = asyncio.ensure_future(self._server.wait_closed())
        while not waiting.done():
            for transport in list(self._transports):
                transport.abort()
            await asyncio.wait({waiting}, timeout=_ABORT_INTERVAL_SECONDS)

    def send(self, address: str, message: Message) -> bool:
        """Send a message on the stream that a peer opened, if there is one.

        :param address: daemon address of the peer.
        :param message: message to send.
        """
        link = self._links.get(address)
        if link is None:
            return False
        link.put(message, self._clock.get_now())
        return True

    def admit(self, transport: Any) -> bool:
        """Count a new connection; a stranger gives way when all are in use.

        :param transport: asyncio transport of the connection.
        """
        if len(self._transports) >= self._options.connections:
            strangers = [
                known
                for known, proved in self._transports.items()
                if not proved
            ]
            if not strangers:
                transport.abort()
                return False
            self._transports.pop(strangers[0])
            strangers[0].abort()
        self._transports[transport] = False
        return True

    def release(self, transport: Any) -> None:
        """Stop counting a connection.

        :param transport: asyncio transport of the connection.
        """
        self._transports.pop(transport, None)

    async def _exchange(self, stream: Any) -> None:
        address = self._authenticate(stream)
        transport = stream._stream.connection._transport  # noqa: WPS437
        self._transports.update({transport: True})
        link = Link()
        self._links[address] = link
        try:
            await link.serve(stream, ControlCodec(), self._bind(address))
        except LINK_ERRORS as error:
            logging.info('event=link_closed peer=%s reason=%r', address, error)
        finally:
            if self._links.get(address) is link:
                self._links.pop(address)

    def _bind(self, address: str) -> Callable[[Message], None]:
        return lambda message: self._receive(address, message)

    def _authenticate(self, stream: Any) -> str:
        metadata = stream.metadata
        secret = str(metadata.get(SECRET_HEADER, ''))
        expected = self._options.secret
        if not hmac.compare_digest(secret.encode(), expected.encode()):
            raise GRPCError(Status.UNAUTHENTICATED)
        address = str(metadata.get(ADDRESS_HEADER, ''))
        if not address or len(address) > _ADDRESS_LIMIT:
            raise GRPCError(Status.INVALID_ARGUMENT)
        return address


def log_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an error of a connection instead of ending the daemon.

    trio-asyncio raises unhandled errors of callbacks into the trio run, so
    malformed bytes from one peer would end the process.

    :param loop: loop in which the error happened.
    :param context: description of the error by asyncio.
    """
    logging.info(
        'event=control_connection_error reason=%r',
        context.get('exception') or context.get('message'),
    )
