"""Tests of the connection, size and token limits of customers."""

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


def run_with_limits(
    monkeypatch: Any,
    check: Callable[[ServedCallerPort], Awaitable[None]],
    options: HandlerOptions,
    record: Record | None = None,
    **limits: int,
) -> None:
    """Run a check against a caller port.

    ``limits`` replace fields of the customer record, and ``record`` replaces
    the record of the same name.
    """
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
            async with serve_callers([port], options) as caller_port:
                await check(caller_port)
            nursery.cancel_scope.cancel()

    trio.run(run)


def get_result(response: HttpResponse) -> tuple[int, bytes, bytes]:
    """Return the status, result code and Retry-After of a response."""
    headers = dict(response.headers)
    code = headers[b'clementinedyke-result']
    return response.status, code, headers.get(b'retry-after', b'')


class TestConnectionLimit:
    """Guards against one customer using all connections of a daemon."""

    def test_lower_record_limit_applies(self, monkeypatch: Any) -> None:
        """A limit of 1 in the record applies instead of the setting of 5.

        The second connection is refused and closed; the first stays open.
        """
        limit = ConnectionLimit(5)
        request = create_request('/v1/models')

        async def check(caller_port: ServedCallerPort) -> None:
            limit.count_open_connections = caller_port.count_connections
            first = HttpClient(Address(HOST, caller_port.port))
            second = HttpClient(Address(HOST, caller_port.port))
            async with first, second:
                assert (await first.request(request, 5000)).status == 200
                refused = await second.request(request, 5000)
                assert get_result(refused) == (429, b'3002', b'1')
                assert (b'connection', b'close') in refused.headers
                assert (await first.request(request, 5000)).status == 200
            await caller_port.wait_until_empty()
            assert (await caller_port.post('/v1/models')).status == 200

        options = HandlerOptions(connection_limit=limit)
        run_with_limits(monkeypatch, check, options, max_connections=1)


class TestRequestSize:
    """Guards against requests above the limits of service or protocol."""

    def test_prompt_limit(self, monkeypatch: Any) -> None:
        """With a limit of 20 tokens, 10 are accepted and 100 refused."""

        async def check(caller_port: ServedCallerPort) -> None:
            assert (await caller_port.chat()).status == 200
            refused = await caller_port.chat(messages=[{'content': 'x' * 400}])
            assert get_result(refused)[:2] == (413, b'2005')

        service = replace(
            StaticConfiguration().get_directory().services['chat'],
            max_prompt_tokens=20,
        )
        run_with_limits(monkeypatch, check, HandlerOptions(), service)

    @pytest.mark.parametrize('limit', [0, -1, 1.5, True, '9', 10**10])
    def test_output_limit_validation(self, limit: Any) -> None:
        """An invalid output limit is refused before it reaches an engine."""
        for name in ('max_tokens', 'max_completion_tokens'):
            body = json.dumps(create_chat(**{name: limit})).encode()
            with pytest.raises(RequestError) as caught:
                parse_chat(body)
            assert caught.value.code is ResultCode.BODY_INVALID


class TestTokenRate:
    """Guards against a customer exceeding its token rate."""

    def test_rate_divided_among_daemons(self, monkeypatch: Any) -> None:
        """One of four daemons grants a quarter of the rate.

        A refusal has the Retry-After after which the request is accepted.
        """
        clock = ManualClock()

        async def check(caller_port: ServedCallerPort) -> None:
            assert (await caller_port.chat(max_tokens=95)).status == 200
            refused = await caller_port.chat(max_tokens=95)
            # 105 tokens (10 in the prompt) minus a burst of 2 s at 10 tokens/s.
            assert get_result(refused)[:2] == (429, b'3002')
            wait = int(get_result(refused)[2])
            assert 7 <= wait <= 9
            clock.advance(1000 * wait)
            assert (await caller_port.chat(max_tokens=95)).status == 200

        options = HandlerOptions(clock=clock, count_daemons=lambda: 4)
        run_with_limits(monkeypatch, check, options, tokens_per_second=40)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 900), st.integers(0, 300), st.integers(0, 300)
            ),
            max_size=40,
        )
    )
    def test_never_above_rate(self, steps: list[tuple[int, int, int]]) -> None:
        """The tokens used never exceed rate, burst and one request."""
        core, now, used = TokenRateCore(), 0, 0
        for elapsed, estimate, actual in steps:
            now += elapsed
            if core.start('c', 100, estimate, now) is None:
                core.settle('c', estimate - actual)
                used += actual
            assert used <= 200 + now / 10 + 300

    def test_retry_after_is_sufficient(self) -> None:
        """A request after the returned wait is accepted."""
        core = TokenRateCore()
        assert core.start('c', 10, 500, 0) is None
        wait = core.start('c', 10, 1, 0)
        assert wait is not None
        assert core.start('c', 10, 1, wait) is None
