"""Daemon port: a grpclib server with a limited number of connections."""

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
#: Length limit of the address header in characters.
_MAX_ADDRESS_LENGTH = 64
#: Interval at which connections that appear during a close are aborted.
_ABORT_INTERVAL_SECONDS = 0.05


def bind_daemon_port(host: str, port: int) -> socket.socket:
    """Return a listening socket on the daemon port.

    Success proves that no other process listens on the address: SO_REUSEPORT
    is off, and on Linux SO_REUSEADDR ignores closed connections but never a
    listening socket, not even that of a suspended process.

    :param host: IP address to bind.
    :param port: TCP port, 0 for a free one.
    :raises OSError: if another process listens on the address.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        # Two sockets may be bound to one address, but only one can listen.
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


class _BoundedProtocol(H2Protocol):
    """Connection that counts towards the connection limit of its server."""

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
    """grpclib server that limits the number of its connections."""

    def __init__(self, owner: 'ControlServer') -> None:
        super().__init__(
            [owner], codec=ControlCodec(), config=create_http2_configuration()
        )
        self._owner = owner

    def _protocol_factory(self) -> H2Protocol:
        return _BoundedProtocol(self._owner, super()._protocol_factory())


class ControlServer:
    """Serves the message streams that peers open."""

    def __init__(
        self, options: ControlOptions, clock: Clock, receive: Receiver
    ) -> None:
        """Create a server; ``start`` opens the port.

        :param options: limits and credentials.
        :param clock: clock of the process.
        :param receive: called with the peer's address and each message.
        """
        self._options = options
        self._clock = clock
        self._receive = receive
        self._links: dict[str, Link] = {}
        #: Open transports in order of arrival, with True once a peer has
        #: authenticated itself on the connection.
        self._transports: dict[Any, bool] = {}
        self._server: Server | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._transports)

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods of the service in the form grpclib requires."""
        return {
            EXCHANGE_METHOD: Handler(
                self._exchange, Cardinality.STREAM_STREAM, None, None
            )
        }

    async def start(self, listener: socket.socket) -> None:
        """Accept connections on a listening socket.

        :param listener: socket that ``bind_daemon_port`` returned.
        """
        self._server = _BoundedServer(self)
        await self._server.start(
            sock=listener, ssl=self._options.create_server_context()
        )

    async def close(self) -> None:
        """Close the port and all connections.

        asyncio may report a connection that was accepted just before the port
        closed only after the close. Connections are therefore aborted until
        no handler is left; otherwise such a handler would never end.
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
        """Send a message on the stream that a peer opened.

        Returns False if the peer has no open stream.

        :param address: daemon address of the peer.
        :param message: message to send.
        """
        link = self._links.get(address)
        if link is None:
            return False
        link.put(message, self._clock.get_now())
        return True

    def admit(self, transport: Any) -> bool:
        """Accept or abort a new connection; return whether it is accepted.

        At the connection limit, the oldest unauthenticated connection is
        aborted to make room. If all are authenticated, the new one is aborted.

        :param transport: asyncio transport of the connection.
        """
        if len(self._transports) >= self._options.connections:
            unauthenticated = [
                accepted
                for accepted, is_authenticated in self._transports.items()
                if not is_authenticated
            ]
            if not unauthenticated:
                transport.abort()
                return False
            self._transports.pop(unauthenticated[0])
            unauthenticated[0].abort()
        self._transports[transport] = False
        return True

    def release(self, transport: Any) -> None:
        """Stop counting a connection towards the limit.

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
            await link.serve(
                stream, ControlCodec(), self._create_receiver(address)
            )
        except LINK_ERRORS as error:
            logging.info('event=link_closed peer=%s reason=%r', address, error)
        finally:
            if self._links.get(address) is link:
                self._links.pop(address)

    def _create_receiver(self, address: str) -> Callable[[Message], None]:
        return lambda message: self._receive(address, message)

    def _authenticate(self, stream: Any) -> str:
        metadata = stream.metadata
        secret = str(metadata.get(SECRET_HEADER, ''))
        expected = self._options.secret
        if not hmac.compare_digest(secret.encode(), expected.encode()):
            raise GRPCError(Status.UNAUTHENTICATED)
        address = str(metadata.get(ADDRESS_HEADER, ''))
        if not address or len(address) > _MAX_ADDRESS_LENGTH:
            raise GRPCError(Status.INVALID_ARGUMENT)
        return address


def log_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an unhandled error of the asyncio loop.

    By default trio-asyncio raises unhandled errors of callbacks in the trio
    run, so malformed bytes from one peer would end the process.

    :param loop: loop in which the error occurred.
    :param context: asyncio's description of the error.
    """
    logging.info(
        'event=control_connection_error reason=%r',
        context.get('exception') or context.get('message'),
    )
