"""Tests of the HTTP server with slow, faulty and malicious callers."""

import json
import ssl

import pytest
import trio
import trustme

from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.http.server import (
    ConnectionLimits,
    ResponseWriter,
    ServerRequest,
)
from http_tools import GET, HOST, echo_path, read_until_closed, serve

_POST = b'POST / HTTP/1.1\r\nHost: x\r\n%b\r\n\r\n%b'
_CHUNKED = b'Transfer-Encoding: chunked'


def get_code(answer: bytes) -> int:
    """Return the result code in the body of an error response."""
    return json.loads(answer.rpartition(b'\r\n\r\n')[2])['error']['code']


async def fail_if_called(
    request: ServerRequest, response: ResponseWriter
) -> None:
    """Fail the test, since the request had to be rejected."""
    raise AssertionError('handler called for a request to be rejected')


async def raise_error(request: ServerRequest, response: ResponseWriter) -> None:
    """Raise before the response, or after its first bytes for /late."""
    if request.path == '/late':
        await response.send_head(200, [], b'part')
    raise ValueError('exception raised by the test handler')


class BlockingHandler:
    """A handler that blocks and has events for its start and its end."""

    def __init__(self) -> None:
        """Create the events."""
        self.started = trio.Event()
        self.released = trio.Event()
        self.ended = trio.Event()

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Respond once released."""
        self.started.set()
        try:
            await self.released.wait()
        finally:
            self.ended.set()
        await echo_path(request, response)

    async def flood(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Write chunks of 64 KiB until the connection breaks."""
        self.started.set()
        try:
            await response.send_head(200, [])
            while True:
                await response.send_chunk(b'a' * 65536)
        finally:
            self.ended.set()


class TestRequests:
    """Guards against wrong responses and responses out of order."""

    async def _check_pipelined(self) -> None:
        async with serve(echo_path) as served:
            last = GET.replace(b'Host', b'Connection: close\r\nHost')
            body = _POST % (b'Content-Length: 3', b'abc')
            requests = (GET % b'a', body, last % b'c')
            answer = await served.send(b''.join(requests))
        assert answer.count(b'HTTP/1.1 200') == 3
        places = [answer.index(part) for part in (b'/a 0;', b'/ 3;', b'/c 0;')]
        assert places == sorted(places)

    def test_pipelined(self) -> None:
        """Three requests in one write get three responses in order."""
        trio.run(self._check_pipelined)

    async def _check_tls(self) -> None:
        authority = trustme.CA()
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        authority.issue_cert(HOST).configure_cert(context)
        trusted = ssl.create_default_context()
        authority.configure_trust(trusted)
        async with serve(echo_path, ssl_context=context) as served:
            address = Address(HOST, served.port)
            async with HttpClient(address, trusted) as client:
                for _ in range(2):
                    answer = await client.request(
                        HttpRequest('GET', '/a'), 9000
                    )
                    assert answer.body == b'/a 0;'
            assert not (await served.send(GET % b'plain')).startswith(b'HTTP')

    def test_tls(self) -> None:
        """A TLS port serves persistent connections and rejects plain HTTP."""
        trio.run(self._check_tls)


class TestRejectedRequests:
    """Guards against invalid requests that hang or reach the handler.

    Ambiguous framing would also allow request smuggling.
    """

    async def _check(self, payload: bytes, code: int) -> None:
        limits = ConnectionLimits(
            max_header_bytes=4096,
            max_body_bytes=1000,
            header_timeout=300,
            receive_timeout=300,
        )
        async with serve(fail_if_called, limits) as served:
            answer = await served.send(payload)
            assert get_code(answer) == code
            assert b'connection: close' in answer.lower()
            assert b'Clementinedyke-Request-Id' in answer
            assert b'Clementinedyke-Result: %d' % code in answer
            await served.wait_until_empty()

    @pytest.mark.parametrize(
        ('payload', 'code'),
        [
            (b'nonsense\r\n\r\n', 2012),
            (b'GET / HTTP/1.1\r\n\r\n', 2012),
            (b'GET / HTTP/1.1\nHost: x\n\n', 2012),
            (_POST % (b'Content-Length: 1\r\nContent-Length: 2', b'ab'), 2012),
            (_POST % (b'Content-Length: -1', b''), 2012),
            (_POST % (b'Content-Length: %b' % (b'9' * 4000), b''), 2012),
            (
                _POST % (b'Content-Length: 4\r\n%b' % _CHUNKED, b'0\r\n\r\n'),
                2012,
            ),
            (_POST % (b'Transfer-Encoding: gzip, chunked', b''), 2012),
            (_POST % (b'Transfer-Encoding : chunked', b'0\r\n\r\n'), 2012),
            (
                _POST.replace(b'1.1', b'1.0') % (_CHUNKED, b'0\r\n\r\n'),
                2012,
            ),
            (_POST % (_CHUNKED, b'zz\r\n'), 2012),
            (_POST % (b'Content-Length: 2000', b''), 2005),
            (_POST % (_CHUNKED, b'7d0\r\n%b' % (b'a' * 2000)), 2005),
            (_POST % (b'A: %b' % (b'a' * 9000), b''), 2006),
            (b'GET / HTTP/1.1\r\nA: begun', 2007),
            (_POST % (b'Content-Length: 9', b'begun'), 2007),
        ],
    )
    def test_refused(self, payload: bytes, code: int) -> None:
        """The response has the code, and the handler is never called."""
        trio.run(self._check, payload, code)

    async def _check_limit(self) -> None:
        limits = ConnectionLimits(max_connections=1)
        async with serve(echo_path, limits) as served:
            async with await served.connect() as first:
                await first.send_all(GET % b'a')
                await first.receive_some(9000)
                answer = await served.send(b'')
                assert get_code(answer) == 3008
                assert b'Retry-After: 1' in answer

    def test_connection_limit(self) -> None:
        """A connection over the limit gets an error, not a timeout."""
        trio.run(self._check_limit)

    async def _check_exception(self) -> None:
        async with serve(raise_error) as served:
            assert get_code(await served.send(GET % b'early')) == 4003
            late = await served.send(GET % b'late')
            assert not late.endswith(b'0\r\n\r\n')

    def test_handler_exception(self) -> None:
        """An exception in a handler gives code 4003.

        Once the response has started, it is cut off without its final chunk.
        """
        trio.run(self._check_exception)


class TestCallerDisconnects:
    """Guards against handlers that run on after the caller disconnects."""

    async def _check(self, pipelined: bytes) -> None:
        handler = BlockingHandler()
        limits = ConnectionLimits(max_pipelined_bytes=100)
        async with serve(handler.respond, limits) as served:
            stream = await served.connect()
            await stream.send_all(b''.join((GET % b'a', pipelined)))
            await handler.started.wait()
            await stream.aclose()
            with trio.fail_after(10):
                await handler.ended.wait()

    @pytest.mark.parametrize('pipelined', [b'', GET, GET * 10])
    def test_disconnect_cancels_handler(self, pipelined: bytes) -> None:
        """The handler is cancelled, whatever pipelined bytes are buffered."""
        trio.run(self._check, pipelined)

    async def _check_slow_reader(self) -> None:
        handler = BlockingHandler()
        limits = ConnectionLimits(write_timeout=400)
        async with serve(handler.flood, limits) as served:
            async with await served.connect() as stream:
                await stream.send_all(GET % b'a')
                with trio.fail_after(10):
                    await handler.ended.wait()

    def test_slow_reader(self) -> None:
        """A caller that does not read its response is disconnected."""
        trio.run(self._check_slow_reader)


class TestDrain:
    """Guards against a drain that aborts a running request."""

    async def _check(self) -> None:
        handler = BlockingHandler()
        async with serve(handler.respond) as served:
            idle = await served.connect()
            busy = await served.connect()
            await busy.send_all(GET % b'a')
            await handler.started.wait()
            served.nursery.start_soon(served.server.drain)
            assert await read_until_closed(idle) == b''
            with pytest.raises(OSError):
                await served.connect()
            handler.released.set()
            answer = await read_until_closed(busy)
            assert b'connection: close' in answer.lower()
            assert answer.endswith(b'/a 0;')

    def test_drain(self) -> None:
        """The running request completes, idle connections are closed.

        New connections are refused.
        """
        trio.run(self._check)
