"""Test tools that serve a caller port for given endpoints."""

import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from typing import Any

import trio

from clementinedyke.callers import (
    CallerHandler,
    HandlerOptions,
    RequestContext,
    RequestOutcome,
    SelectedEndpoint,
    TokenUsage,
)
from clementinedyke.codes import ResultCode
from clementinedyke.http.client import Address, HttpClient, HttpResponse
from clementinedyke.http.client import HttpRequest as Request
from clementinedyke.http.socket_io import set_reset_on_close
from clementinedyke.records.core import (
    CustomerRecord,
    KeyRecord,
    ServiceRecord,
    get_digest,
)
from clementinedyke.records.directory import Directory
from http_tools import HOST, ServedPort, serve

KEY = 'secret-of-the-customer'
_RESET_DELAY_SECONDS = 0.05
_RECORDS = (
    ServiceRecord(name='chat', backend='model', models=('m',)),
    ServiceRecord(name='desk', backend='plain'),
    ServiceRecord(name='ledger', backend='plain', repeatable=False),
    CustomerRecord(name='lofts', services=('chat', 'desk', 'ledger')),
    KeyRecord(name='key', customer='lofts', digest=get_digest(KEY)),
)


class StaticConfiguration:
    """Configuration with constant records."""

    def is_key_state_fresh(self) -> bool:
        """Return True, so that requests with API keys are accepted."""
        return True

    def get_directory(self) -> Directory:
        """Return the records."""
        return Directory.compile(1, _RECORDS)


class OrderedSelector:
    """Selects endpoints in a fixed order."""

    def __init__(self, ports: Sequence[int]) -> None:
        """Create the endpoints from their ports on loopback."""
        self._endpoints = [
            SelectedEndpoint(str(port), HttpClient(Address(HOST, port)))
            for port in ports
        ]

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return the first endpoint that is not excluded, or None."""
        untried = [
            item for item in self._endpoints if item.name not in excluded
        ]
        return untried[0] if untried else None

    def record_first_byte(self, context: RequestContext) -> None:
        """Ignore the first byte of a response."""

    def record_attempt_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Ignore the result of an attempt."""

    async def close_idle(self) -> None:
        """Close the pooled connections to the endpoints."""
        for endpoint in self._endpoints:
            await endpoint.client.close()


class ServedCallerPort:
    """A running caller port and the reported outcomes and usage."""

    def __init__(self, selector: OrderedSelector) -> None:
        """Create the state of a port that is not served yet."""
        self.selector = selector
        self.outcomes: list[RequestOutcome] = []
        self.usage: list[TokenUsage] = []
        self.port = 0
        self.served: ServedPort | None = None

    def count_connections(self, customer: str) -> int:
        """Return the number of open connections of a customer."""
        assert self.served is not None
        return self.served.server.count_connections(customer)

    async def wait_until_empty(self) -> None:
        """Wait until all connections to the port are closed."""
        assert self.served is not None
        await self.served.wait_until_empty()

    @property
    def codes(self) -> list[int | None]:
        """Result codes of the attempts of the last request."""
        return [attempt.code for attempt in self.outcomes[-1].attempts]

    async def post(self, path: str, content: Any = None) -> HttpResponse:
        """Send a request with the API key and return the response."""
        async with HttpClient(Address(HOST, self.port)) as client:
            return await client.request(create_request(path, content), 10000)

    async def chat(self, **fields: Any) -> HttpResponse:
        """Send a chat request and return the response."""
        return await self.post('/v1/chat/completions', create_chat(**fields))


def create_chat(**fields: Any) -> dict[str, Any]:
    """Return the body of a chat request."""
    return {'model': 'm', 'messages': [{'role': 'user'}], **fields}


def create_request(path: str, content: Any = None) -> Request:
    """Return a POST request with the customer's API key."""
    return Request(
        'POST',
        path,
        [(b'Authorization', f'Bearer {KEY}'.encode())],
        json.dumps(content).encode(),
    )


@asynccontextmanager
async def serve_callers(
    ports: Sequence[int], options: HandlerOptions | None = None
) -> AsyncIterator[ServedCallerPort]:
    """Serve a caller port until the context exits."""
    caller_port = ServedCallerPort(OrderedSelector(ports))
    handler_options = replace(
        options or HandlerOptions(),
        selector=caller_port.selector,
        observe_outcome=caller_port.outcomes.append,
        observe_usage=caller_port.usage.append,
    )
    handler = CallerHandler(StaticConfiguration(), None, handler_options)
    served: ServedPort
    async with serve(handler.respond) as served:
        caller_port.port = served.port
        caller_port.served = served
        yield caller_port
        await served.wait_until_empty()


class RawEndpoint:
    """Endpoint that sends fixed bytes for each request and then closes."""

    def __init__(
        self,
        answer: bytes,
        keeps_open: bool = False,
        resets: bool = False,
        ends: bool = False,
        delay_seconds: float = 0,
        closing_seconds: float = 0,
    ) -> None:
        """Create the endpoint.

        With ``keeps_open`` it waits until the peer closes the connection, and
        with ``resets`` the connection is reset instead of closed. With
        ``ends`` it accepts no further connection, from ``closing_seconds``
        after the end of its first one. It answers after a delay.
        """
        self._answer = answer
        self._keeps_open = keeps_open
        self._resets = resets
        self._ends = ends
        self._delay_seconds = delay_seconds
        self._closing_seconds = closing_seconds
        self._accept_scope = trio.CancelScope()
        self._listeners: list[trio.SocketListener] = []
        self.received: list[bytes] = []
        self.closed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> int:
        """Start the endpoint in a nursery and return its port."""
        self._listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(self._accept, nursery)
        return int(self._listeners[0].socket.getsockname()[1])

    async def _accept(self, nursery: trio.Nursery) -> None:
        with self._accept_scope:
            await trio.serve_listeners(
                self._serve, self._listeners, handler_nursery=nursery
            )

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.received.append(bytes(await stream.receive_some(65536)))
        await trio.sleep(self._delay_seconds)
        # A peer that gives up an answer resets its connection.
        with suppress(trio.BrokenResourceError):
            await stream.send_all(self._answer)
        if self._ends:
            await self._end(stream)
        if self._resets:
            # Lets the peer read the answer, which a reset would discard.
            await trio.sleep(_RESET_DELAY_SECONDS)
            set_reset_on_close(stream)
        if self._keeps_open:
            # A request that is given up resets its connection.
            with suppress(trio.BrokenResourceError):
                await stream.receive_some(1)
            self.closed.set()

    async def _end(self, stream: trio.SocketStream) -> None:
        """Close the port, or the connection first if the port closes later."""
        if self._closing_seconds:
            await stream.aclose()
            await trio.sleep(self._closing_seconds)
        self._accept_scope.cancel()
        # At once: when the process was held up, waits of a daemon that began
        # later may end in the same turn of the event loop.
        for listener in self._listeners:
            listener.socket.close()
