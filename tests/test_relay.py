"""Tests of dispatch and relay between callers and endpoints."""

import json

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
from clementinedyke.callers.tokens import EventTokenCounter
from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.standins.engine import EngineStandin
from clementinedyke.standins.service import ServiceStandin
from http_tools import HOST

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
_CHUNKED_HEAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % _HEAD
_EVENT = b'data: {"choices":[{"delta":{"content":"w"}}]}\n\n'
_BROKEN = b'%b%x\r\n%b\r\n' % (_CHUNKED_HEAD, len(_EVENT), _EVENT)


class TestRetry:
    """Guards against a request run twice, or given up too early."""

    async def _check(
        self, first: RawEndpoint | None, path: str, codes: list[int]
    ) -> None:
        service = ServiceStandin()
        async with trio.open_nursery() as nursery:
            # Nothing listens on port 1 of loopback.
            port = await first.start(nursery) if first else 1
            second = await service.start(nursery, HOST, 0)
            async with serve_callers([port, second]) as side:
                answer = await side.post(path)
                assert side.codes == codes
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
    def test_stages(
        self, answer: bytes | None, path: str, codes: list[int]
    ) -> None:
        """Each stage of failure is repeated only where that is allowed."""
        first = None if answer is None else RawEndpoint(answer)
        trio.run(self._check, first, path, codes)

    async def _check_timeout(self) -> None:
        limits = DispatchLimits(first_byte_timeout=50, max_attempts=1)
        endpoint = RawEndpoint(_CHUNKED_HEAD, keeps_open=True)
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            options = HandlerOptions(limits=limits)
            async with serve_callers([port], options) as side:
                answer = await side.post('/services/desk/prices')
                assert answer.status == 504
                await endpoint.closed.wait()
            nursery.cancel_scope.cancel()

    def test_timeout(self) -> None:
        """An endpoint that sends a head and no body does not hang us."""
        trio.run(self._check_timeout)

    async def _check_whole_timeout(self) -> None:
        limits = DispatchLimits(request_timeout=200)
        endpoint = RawEndpoint(_BROKEN, keeps_open=True)
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            options = HandlerOptions(limits=limits)
            async with serve_callers([port, port], options) as side:
                with pytest.raises(AnswerLostError):
                    await side.chat(stream=True)
                await endpoint.closed.wait()
                await _wait_for_outcome(side)
                assert side.codes == [4001]
            nursery.cancel_scope.cancel()

    def test_whole_timeout(self) -> None:
        """An answer that began and stalls ends, visibly broken."""
        trio.run(self._check_whole_timeout)


class TestStream:
    """Guards against answers that are cut off, leak or are billed wrongly."""

    async def _check_broken(self) -> None:
        async with trio.open_nursery() as nursery:
            port = await RawEndpoint(_BROKEN).start(nursery)
            async with serve_callers([port, port]) as side:
                with pytest.raises(AnswerLostError):
                    await side.chat(stream=True)
                await _wait_for_outcome(side)
                assert side.codes == [4000]
                assert side.outcomes[0].chunks == 1
                assert side.usage[0].completion_tokens == 1
            nursery.cancel_scope.cancel()

    def test_broken(self) -> None:
        """The caller can tell, no second try runs, one token is counted."""
        trio.run(self._check_broken)

    async def _check_usage(self) -> None:
        engine = EngineStandin('m')
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            async with serve_callers([port]) as side:
                answer = await side.chat(
                    stream=True,
                    max_tokens=40,
                    stream_options={'include_usage': True},
                )
                assert answer.body.endswith(b'data: [DONE]\n\n')
                whole = await side.chat(max_tokens=7)
                assert json.loads(whole.body)['usage']['completion_tokens'] == 7
                counts = [usage.completion_tokens for usage in side.usage]
                assert counts == [40, 7]
                assert all(usage.prompt_tokens for usage in side.usage)
            nursery.cancel_scope.cancel()

    def test_usage(self) -> None:
        """The engine's own figures are billed."""
        trio.run(self._check_usage)

    async def _check_key(self) -> None:
        endpoint = RawEndpoint(b'')
        async with trio.open_nursery() as nursery:
            port = await endpoint.start(nursery)
            async with serve_callers([port]) as side:
                await side.chat()
            nursery.cancel_scope.cancel()
        assert b'clementinedyke-request-id' in endpoint.received[0].lower()
        assert KEY.encode() not in endpoint.received[0]

    def test_key(self) -> None:
        """An endpoint sees the request's identity and never the key."""
        trio.run(self._check_key)

    async def _check_leaving(self) -> None:
        engine = EngineStandin('m', token_interval=0.01)
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            async with serve_callers([port]) as side:
                request = create_request(
                    '/v1/chat/completions',
                    create_chat(stream=True, max_tokens=100000),
                )
                client = HttpClient(Address(HOST, side.port))
                async with client.open_response(request) as answer:
                    await answer.receive_available()
                    assert engine.running == 1
                await _wait_for_outcome(side)
                assert side.outcomes[0].code is None
                await _wait_until_idle(engine)
            nursery.cancel_scope.cancel()

    def test_leaving(self) -> None:
        """The engine's stream ends when the caller has left."""
        trio.run(self._check_leaving)

    def test_events_without_usage(self) -> None:
        """The count of events is never above the number of tokens."""
        counter = EventTokenCounter()
        counter.add(b'data: {"delta":{"role":"assistant","content":""}}\n\n')
        quoted = json.dumps({'content': 'a "content": b'}).encode()
        counter.add(b'data: %b\n\ndata: {"con' % quoted)
        counter.add(b'tent":"x"}\n\n')
        assert counter.get_tokens().completion_tokens == 1


async def _wait_for_outcome(side: ServedCallerPort) -> None:
    with trio.fail_after(10):
        while not side.outcomes:
            await trio.sleep(0.01)


async def _wait_until_idle(engine: EngineStandin) -> None:
    with trio.fail_after(10):
        while engine.running:
            await trio.sleep(0.01)
