"""Tests of the dispatch of requests and the relay of responses."""

import json
from contextlib import suppress

import pytest
import trio

from caller_tools import (
    KEY,
    RawEndpoint,
    ServedCallerPort,
    create_chat,
    create_request,
    serve_callers,
)
from clementinedyke.callers import DispatchLimits, HandlerOptions
from clementinedyke.callers.collector import ResponseCollector
from clementinedyke.callers.tokens import EventTokenCounter
from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpClient, HttpResponse
from clementinedyke.standins.engine import EngineStandin
from clementinedyke.standins.service import ServiceStandin
from http_tools import HOST
from link import Link

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
_CHUNKED_HEAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % _HEAD
_EVENT = b'data: {"choices":[{"delta":{"content":"w"}}]}\n\n'
_TRUNCATED = b'%b%x\r\n%b\r\n' % (_CHUNKED_HEAD, len(_EVENT), _EVENT)
#: Answers whose end neither their framing nor their content shows, and what
#: they answer.
_UNFRAMED = (
    (b'HTTP/1.1 200 OK\r\n\r\npart', '/services/desk/prices'),
    (b'%b\r\n%b' % (_HEAD, _EVENT), '/services/desk/prices'),
    (b'HTTP/1.1 200 OK\r\n\r\n{"choices":[{', 'chat'),
)


class TestRetry:
    """Guards against forbidden or missing retries and stalled attempts."""

    async def _check_retry(
        self, first: RawEndpoint | None, path: str, codes: list[int]
    ) -> None:
        service = ServiceStandin()
        async with trio.open_nursery() as nursery:
            # Nothing listens on port 1 of loopback.
            port = await first.start(nursery) if first else 1
            second = await service.start(nursery, HOST, 0)
            async with serve_callers([port, second]) as caller_port:
                answer = await caller_port.post(path)
                assert caller_port.codes == codes
                is_answered = codes[-1] == 1000
                assert service.runs == is_answered
                assert (answer.status == 201) is is_answered
                number = str(codes[-1]).encode()
                assert (b'clementinedyke-result', number) in answer.headers
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        ('answer', 'path', 'codes'),
        [
            (None, '/services/ledger/slots', [3003, 1000]),
            (b'', '/services/ledger/slots', [4000]),
            (b'', '/services/desk/prices', [4000, 1000]),
            (_HEAD, '/services/desk/prices', [4000, 1000]),
            (
                b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart',
                '/services/desk/prices',
                [4000, 1000],
            ),
        ],
    )
    def test_retry_by_failure_stage(
        self, answer: bytes | None, path: str, codes: list[int]
    ) -> None:
        """A non-repeatable request is retried only if it was not sent.

        Repeatable requests are also retried after a lost or truncated response.
        """
        first = None if answer is None else RawEndpoint(answer)
        trio.run(self._check_retry, first, path, codes)

    async def _check_first_byte_timeout(self) -> None:
        limits = DispatchLimits(first_byte_timeout=50, max_attempts=1)
        endpoint = RawEndpoint(_CHUNKED_HEAD, keeps_open=True)
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            options = HandlerOptions(limits=limits)
            async with serve_callers([port], options) as caller_port:
                answer = await caller_port.post('/services/desk/prices')
                assert answer.status == 504
                await endpoint.closed.wait()
            nursery.cancel_scope.cancel()

    def test_first_byte_timeout(self) -> None:
        """An endpoint that sends headers but no body causes a 504."""
        trio.run(self._check_first_byte_timeout)

    async def _check_request_timeout(self) -> None:
        limits = DispatchLimits(request_timeout=200)
        endpoint = RawEndpoint(_TRUNCATED, keeps_open=True)
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            options = HandlerOptions(limits=limits)
            async with serve_callers([port, port], options) as caller_port:
                with pytest.raises(AnswerLostError):
                    await caller_port.chat(stream=True)
                await endpoint.closed.wait()
                await _wait_for_outcome(caller_port)
                assert caller_port.codes == [4001]
            nursery.cancel_scope.cancel()

    def test_request_timeout_during_stream(self) -> None:
        """A stalled stream ends at the timeout without a final chunk."""
        trio.run(self._check_request_timeout)


class TestResponseRelay:
    """Guards against hidden truncation, leaks and wrong token counts."""

    async def _check_truncated(self) -> None:
        async with trio.open_nursery() as nursery:
            port = await RawEndpoint(_TRUNCATED).start(nursery)
            async with serve_callers([port, port]) as caller_port:
                with pytest.raises(AnswerLostError):
                    await caller_port.chat(stream=True)
                await _wait_for_outcome(caller_port)
                assert caller_port.codes == [4000]
                assert caller_port.outcomes[0].chunks == 1
                assert caller_port.usage[0].completion_tokens == 1
            nursery.cancel_scope.cancel()

    def test_truncated_stream(self) -> None:
        """A truncated stream is not retried, and its one token is counted.

        The caller sees that the final chunk is missing.
        """
        trio.run(self._check_truncated)

    async def _check_cut(self, answer: bytes) -> None:
        async with trio.open_nursery() as nursery:
            port = await RawEndpoint(answer).start(nursery)
            async with serve_callers([port]) as caller_port:
                with suppress(AnswerLostError):
                    received = await caller_port.chat(stream=True)
                    assert received.status == 502
                await _wait_for_outcome(caller_port)
                assert caller_port.codes == [4000]
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        'answer',
        [
            b'%b\r\n%b' % (_HEAD, _EVENT),
            b'%b\r\n%b' % (_HEAD, _EVENT[:-4]),
            b'%b%x\r\n%b\r\n0\r\n\r\n'
            % (_CHUNKED_HEAD, len(_EVENT) - 4, _EVENT[:-4]),
            b'%bContent-Length: %d\r\n\r\n%b'
            % (_HEAD, len(_EVENT) - 4, _EVENT[:-4]),
        ],
        ids=['no-done', 'connection', 'chunked', 'length'],
    )
    def test_cut_stream_looks_cut(self, answer: bytes) -> None:
        """A stream that was cut off must not look complete to its caller.

        Its framing may say that it is: an engine that fails also closes a
        connection whose end is the end of the answer.
        """
        trio.run(self._check_cut, answer)

    async def _check_cut_plain(self) -> None:
        cut = b'%b\r\nid: 1\ndata: a\n\nid: 2' % _HEAD
        async with trio.open_nursery() as nursery:
            port = await RawEndpoint(cut).start(nursery)
            async with serve_callers([port]) as caller_port:
                with pytest.raises(AnswerLostError):
                    await caller_port.post('/services/desk/prices')
            nursery.cancel_scope.cancel()

    def test_cut_stream_of_plain_service(self) -> None:
        """A plain service's stream that was cut off must not look whole."""
        trio.run(self._check_cut_plain)

    async def _check_cut_json(self) -> None:
        answer = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
        async with trio.open_nursery() as nursery:
            port = await RawEndpoint(b'%b{"choices":[{' % answer).start(nursery)
            async with serve_callers([port]) as caller_port:
                with pytest.raises(AnswerLostError):
                    await caller_port.chat()
            nursery.cancel_scope.cancel()

    def test_cut_json_looks_cut(self) -> None:
        """A whole answer of an engine that was cut off must not look whole."""
        trio.run(self._check_cut_json)

    async def _check_unframed(
        self, endpoint: RawEndpoint, path: str
    ) -> HttpResponse | None:
        received: HttpResponse | None = None
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            async with serve_callers([port]) as caller_port:
                with suppress(AnswerLostError):
                    received = await _send_to(caller_port, path)
            nursery.cancel_scope.cancel()
        return received

    @pytest.mark.parametrize('closing_seconds', [0, 0.01])
    @pytest.mark.parametrize(
        ('answer', 'path'), _UNFRAMED, ids=['plain', 'events', 'chat']
    )
    def test_answer_of_killed_endpoint(
        self, answer: bytes, path: str, closing_seconds: float
    ) -> None:
        """An answer without a marked end is lost if its endpoint has ended.

        The kernel closes the connections of a killed process, and its port
        a moment later.
        """
        endpoint = RawEndpoint(
            answer, ends=True, closing_seconds=closing_seconds
        )
        assert trio.run(self._check_unframed, endpoint, path) is None

    @pytest.mark.parametrize(
        ('answer', 'path'), _UNFRAMED, ids=['plain', 'events', 'chat']
    )
    def test_answer_of_running_endpoint(self, answer: bytes, path: str) -> None:
        """An answer without a marked end is complete if its endpoint runs."""
        received = trio.run(self._check_unframed, RawEndpoint(answer), path)
        assert received is not None
        assert answer.endswith(b'\r\n\r\n%b' % received.body)

    async def _check_cut_endpoint(self) -> None:
        endpoint = RawEndpoint(
            b'HTTP/1.1 200 OK\r\n\r\npart', delay_seconds=0.2
        )
        async with trio.open_nursery() as nursery:
            link = Link(Address(HOST, await endpoint.start(nursery)))
            await link.start(nursery)
            async with serve_callers([link.port]) as caller_port:
                nursery.start_soon(_cut_later, link)
                with pytest.raises(AnswerLostError):
                    await _send_to(caller_port, '/services/desk/prices')
            nursery.cancel_scope.cancel()

    def test_answer_of_cut_endpoint(self) -> None:
        """An answer without a marked end is lost if its endpoint is cut off."""
        trio.run(self._check_cut_endpoint)

    async def _check_endless_head(self, answer: bytes) -> None:
        endpoint = RawEndpoint(answer, keeps_open=True)
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            async with serve_callers([port]) as caller_port:
                received = await caller_port.post('/services/desk/prices')
                assert received.status == 502
                await endpoint.closed.wait()
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        'answer',
        [
            b'%bX-Filler: %b' % (_HEAD, b'x' * 100000),
            b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1000,
        ],
        ids=['header', 'interim answers'],
    )
    def test_endless_head(self, answer: bytes) -> None:
        """A head without end must be given up at once."""
        trio.run(self._check_endless_head, answer)

    async def _check_collector(self) -> None:
        collector = ResponseCollector()
        await collector.send_head(200, [], b'')
        with pytest.raises(AnswerLostError):
            for _ in range(1000):
                await collector.send_chunk(b'x' * 65536)

    def test_endless_answer_of_claim(self) -> None:
        """An answer that is kept in memory for a claim must have an end."""
        trio.run(self._check_collector)

    async def _check_usage(self) -> None:
        engine = EngineStandin('m')
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            async with serve_callers([port]) as caller_port:
                answer = await caller_port.chat(
                    stream=True,
                    max_tokens=40,
                    stream_options={'include_usage': True},
                )
                assert answer.body.endswith(b'data: [DONE]\n\n')
                whole = await caller_port.chat(max_tokens=7)
                assert json.loads(whole.body)['usage']['completion_tokens'] == 7
                counts = [
                    usage.completion_tokens for usage in caller_port.usage
                ]
                assert counts == [40, 7]
                assert all(usage.prompt_tokens for usage in caller_port.usage)
            nursery.cancel_scope.cancel()

    def test_usage_reported_by_engine(self) -> None:
        """The usage that the engine reports is recorded."""
        trio.run(self._check_usage)

    async def _check_key(self) -> None:
        endpoint = RawEndpoint(b'')
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            async with serve_callers([port]) as caller_port:
                await caller_port.chat()
            nursery.cancel_scope.cancel()
        assert b'clementinedyke-request-id' in endpoint.received[0].lower()
        assert KEY.encode() not in endpoint.received[0]

    def test_key_not_forwarded(self) -> None:
        """An endpoint receives the request id but not the API key."""
        trio.run(self._check_key)

    async def _check_disconnect(self) -> None:
        engine = EngineStandin('m', token_interval=0.01)
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            async with serve_callers([port]) as caller_port:
                request = create_request(
                    '/v1/chat/completions',
                    create_chat(stream=True, max_tokens=100000),
                )
                client = HttpClient(Address(HOST, caller_port.port))
                async with client.open_response(request) as answer:
                    await answer.receive_available()
                    assert engine.running == 1
                await _wait_for_outcome(caller_port)
                assert caller_port.outcomes[0].code is None
                await _wait_until_idle(engine)
            nursery.cancel_scope.cancel()

    def test_caller_disconnect_stops_engine(self) -> None:
        """The stream of the engine is closed after the caller disconnects."""
        trio.run(self._check_disconnect)

    def test_event_count_without_usage(self) -> None:
        """The event count never exceeds the number of tokens.

        Role events, quoted keys and keys split between reads are not counted.
        """
        counter = EventTokenCounter()
        counter.add(b'data: {"delta":{"role":"assistant","content":""}}\n\n')
        quoted = json.dumps({'content': 'a "content": b'}).encode()
        counter.add(b'data: %b\n\ndata: {"con' % quoted)
        counter.add(b'tent":"x"}\n\n')
        assert counter.get_tokens().completion_tokens == 1


async def _send_to(caller_port: ServedCallerPort, path: str) -> HttpResponse:
    """Send a chat, or a request to a path."""
    if path == 'chat':
        return await caller_port.chat()
    return await caller_port.post(path)


async def _cut_later(link: Link) -> None:
    await trio.sleep(0.1)
    link.hang_new()


async def _wait_for_outcome(caller_port: ServedCallerPort) -> None:
    with trio.fail_after(10):
        while not caller_port.outcomes:
            await trio.sleep(0.01)


async def _wait_until_idle(engine: EngineStandin) -> None:
    with trio.fail_after(10):
        while engine.running:
            await trio.sleep(0.01)
