"""A caller port in front of chosen endpoints, without a platform."""

import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
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
from clementinedyke.records.core import (
    CustomerRecord,
    KeyRecord,
    ServiceRecord,
    get_digest,
)
from clementinedyke.records.directory import Directory
from http_tools import HOST, ServedPort, serve

KEY = 'secret-of-the-customer'
_RECORDS = (
    ServiceRecord(name='chat', backend='model', models=('m',)),
    ServiceRecord(name='desk', backend='plain'),
    ServiceRecord(name='ledger', backend='plain', repeatable=False),
    CustomerRecord(name='lofts', services=('chat', 'desk', 'ledger')),
    KeyRecord(name='key', customer='lofts', digest=get_digest(KEY)),
)


class StaticConfiguration:
    """Holds records that do not change."""

    def is_key_state_fresh(self) -> bool:
        """Tell that keyed requests may be accepted."""
        return True

    def get_directory(self) -> Directory:
        """Return the records."""
        return Directory.compile(1, _RECORDS)


class OrderedSelector:
    """Takes endpoints in a fixed order."""

    def __init__(self, ports: Sequence[int]) -> None:
        """Take the ports of the endpoints on loopback."""
        self._endpoints = [
            SelectedEndpoint(str(port), HttpClient(Address(HOST, port)))
            for port in ports
        ]

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return the first endpoint that was not tried."""
        left = [item for item in self._endpoints if item.name not in excluded]
        return left[0] if left else None

    def record_first_byte(self, context: RequestContext) -> None:
        """Ignore the beginning of an answer."""

    def record_attempt_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Ignore the end of a try."""

    async def close_idle(self) -> None:
        """Close the pooled connections to the endpoints."""
        for endpoint in self._endpoints:
            await endpoint.client.close()


class ServedCallerPort:
    """A served caller port and what its observers saw."""

    def __init__(self, selector: OrderedSelector) -> None:
        """Create empty lists."""
        self.selector = selector
        self.outcomes: list[RequestOutcome] = []
        self.usage: list[TokenUsage] = []
        self.port = 0
        self.served: ServedPort | None = None

    def count_connections(self, customer: str) -> int:
        """Return the number of connections of a customer."""
        assert self.served is not None
        return self.served.server.count_connections(customer)

    async def wait_until_empty(self) -> None:
        """Wait until the port has no connection left."""
        assert self.served is not None
        await self.served.wait_until_empty()

    @property
    def codes(self) -> list[int | None]:
        """Result codes of the tries of the last request."""
        return [attempt.code for attempt in self.outcomes[-1].attempts]

    async def post(self, path: str, content: Any = None) -> HttpResponse:
        """Send a request with the key and return the whole answer."""
        async with HttpClient(Address(HOST, self.port)) as client:
            return await client.request(create_request(path, content), 10000)

    async def chat(self, **fields: Any) -> HttpResponse:
        """Send a chat request."""
        return await self.post('/v1/chat/completions', create_chat(**fields))


def create_chat(**fields: Any) -> dict[str, Any]:
    """Return the body of a chat request."""
    return {'model': 'm', 'messages': [{'role': 'user'}], **fields}


def create_request(path: str, content: Any = None) -> Request:
    """Return a request that carries the customer's key."""
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
    """Run a caller port for the time of a test."""
    side = ServedCallerPort(OrderedSelector(ports))
    chosen = replace(
        options or HandlerOptions(),
        selector=side.selector,
        observe_outcome=side.outcomes.append,
        observe_usage=side.usage.append,
    )
    handler = CallerHandler(StaticConfiguration(), None, chosen)
    served: ServedPort
    async with serve(handler.respond) as served:
        side.port = served.port
        side.served = served
        yield side
        await served.wait_until_empty()


class RawEndpoint:
    """An endpoint that answers each request with fixed bytes and closes."""

    def __init__(self, answer: bytes, keeps_open: bool = False) -> None:
        """Take the bytes; with ``waits`` the connection stays open."""
        self._answer = answer
        self._waits = keeps_open
        self.received: list[bytes] = []
        self.closed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> int:
        """Serve in a nursery and return the port."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.received.append(bytes(await stream.receive_some(65536)))
        await stream.send_all(self._answer)
        if self._waits:
            await stream.receive_some(1)
            self.closed.set()
