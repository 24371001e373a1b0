"""Tests of the limits of a customer at one daemon."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from caller_tools import (
    ServedCallerPort,
    StaticConfiguration,
    create_chat,
    create_request,
    serve_callers,
)
from clementinedyke.admission.token_rate import TokenRateCore
from clementinedyke.callers import HandlerOptions
from clementinedyke.callers.customer_limits import ConnectionLimit
from clementinedyke.callers.validation import parse_chat
from clementinedyke.clock import ManualClock
from clementinedyke.codes import ResultCode
from clementinedyke.http.client import Address, HttpClient, HttpResponse
from clementinedyke.http.message import RequestError
from clementinedyke.records.core import Record
from clementinedyke.records.directory import Directory
from clementinedyke.standins.engine import EngineStandin
from http_tools import HOST


def run_limited(
    monkeypatch: Any,
    check: Callable[[ServedCallerPort], Awaitable[None]],
    options: HandlerOptions,
    record: Record | None = None,
    **limits: int,
) -> None:
    """Serve a caller port with a record, or limits in the customer's."""
    directory = StaticConfiguration().get_directory()
    customer = replace(directory.customers['lofts'], **limits)
    services = directory.services.values()
    keys = directory.keys.values()
    limited = Directory.compile(1, (customer, *services, *keys, record))
    monkeypatch.setattr(
        StaticConfiguration, 'get_directory', lambda this: limited
    )

    async def run() -> None:
        engine = EngineStandin('m')
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            async with serve_callers([port], options) as side:
                await check(side)
            nursery.cancel_scope.cancel()

    trio.run(run)


def get_result(response: HttpResponse) -> tuple[int, bytes, bytes]:
    """Return status, result code and Retry-After of a response."""
    headers = dict(response.headers)
    code = headers[b'clementinedyke-result']
    return response.status, code, headers.get(b'retry-after', b'')


class TestConnectionLimit:
    """Guards against a customer that takes all connections of a daemon."""

    def test_lower_record_wins(self, monkeypatch: Any) -> None:
        """The second connection is refused and closed, the first one stays."""
        limit = ConnectionLimit(5)
        request = create_request('/v1/models')

        async def check(side: ServedCallerPort) -> None:
            limit.count_open_connections = side.count_connections
            first = HttpClient(Address(HOST, side.port))
            second = HttpClient(Address(HOST, side.port))
            async with first, second:
                assert (await first.request(request, 5000)).status == 200
                refused = await second.request(request, 5000)
                assert get_result(refused) == (429, b'3002', b'1')
                assert (b'connection', b'close') in refused.headers
                assert (await first.request(request, 5000)).status == 200
            await side.wait_until_empty()
            assert (await side.post('/v1/models')).status == 200

        options = HandlerOptions(connection_limit=limit)
        run_limited(monkeypatch, check, options, max_connections=1)


class TestRequestSize:
    """Guards against requests larger than their service or the protocol."""

    def test_prompt(self, monkeypatch: Any) -> None:
        """A prompt of about 10 tokens runs, one of 100 is refused."""

        async def check(side: ServedCallerPort) -> None:
            assert (await side.chat()).status == 200
            refused = await side.chat(messages=[{'content': 'x' * 400}])
            assert get_result(refused)[:2] == (413, b'2005')

        service = replace(
            StaticConfiguration().get_directory().services['chat'],
            max_prompt_tokens=20,
        )
        run_limited(monkeypatch, check, HandlerOptions(), service)

    @pytest.mark.parametrize('limit', [0, -1, 1.5, True, '9', 10**10])
    def test_output(self, limit: Any) -> None:
        """A limit that no engine understands must not reach one."""
        for name in ('max_tokens', 'max_completion_tokens'):
            body = json.dumps(create_chat(**{name: limit})).encode()
            with pytest.raises(RequestError) as caught:
                parse_chat(body)
            assert caught.value.code is ResultCode.BODY_INVALID


class TestTokenRate:
    """Guards against a customer that gets more tokens than its record."""

    def test_share_of_the_fleet(self, monkeypatch: Any) -> None:
        """A daemon of four grants a quarter, and says when to come back."""
        clock = ManualClock()

        async def check(side: ServedCallerPort) -> None:
            assert (await side.chat(max_tokens=95)).status == 200
            refused = await side.chat(max_tokens=95)
            # 105 tokens (10 of them prompt) less a burst of 2 s at 10 tokens/s.
            assert get_result(refused)[:2] == (429, b'3002')
            wait = int(get_result(refused)[2])
            assert 7 <= wait <= 9
            clock.advance(1000 * wait)
            assert (await side.chat(max_tokens=95)).status == 200

        options = HandlerOptions(clock=clock, count_daemons=lambda: 4)
        run_limited(monkeypatch, check, options, tokens_per_second=40)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 900), st.integers(0, 300), st.integers(0, 300)
            ),
            max_size=40,
        )
    )
    def test_never_above_rate(self, steps: list[tuple[int, int, int]]) -> None:
        """The tokens used stay within rate, burst and one request."""
        core, now, used = TokenRateCore(), 0, 0
        for elapsed, estimate, actual in steps:
            now += elapsed
            if core.start('c', 100, estimate, now) is None:
                core.settle('c', estimate - actual)
                used += actual
            assert used <= 200 + now / 10 + 300

    def test_told_wait_is_enough(self) -> None:
        """A caller that obeys Retry-After is not refused again."""
        core = TokenRateCore()
        assert core.start('c', 10, 500, 0) is None
        wait = core.start('c', 10, 1, 0)
        assert wait is not None
        assert core.start('c', 10, 1, wait) is None
