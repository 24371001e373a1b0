"""Stand-in for a model engine with streaming, orders and crashes."""

import json
import secrets
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import parse_qs

import trio

from clementinedyke.http.server import (
    HttpServer,
    ResponseWriter,
    ServerRequest,
)
from clementinedyke.standins.events import encode_event, encode_word_events
from clementinedyke.standins.service import REPORT_PATH

_OK = 200
_CONFLICT = 409
_NOT_FOUND = 404
_UNAVAILABLE = 503
_EVENT_STREAM = [(b'Content-Type', b'text/event-stream')]
_DEFAULT_TOKENS = 8
_EVENT_HISTORY = 256
_REQUEST_ID_HEADER = 'clementinedyke-request-id'


@dataclass(frozen=True, slots=True)
class EngineFaults:
    """Faults and limits of the engine.

    A request whose body contains ``crash_marker`` crashes the engine: all
    connections break, and new ones are refused for ``crash_downtime``
    seconds. An empty marker disables crashes. Requests beyond
    ``max_streams`` concurrent ones get status 503.
    """

    crash_marker: bytes = b''
    crash_downtime: float = 0.2
    max_streams: int = 100000


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Capacity that ``/state`` reports; fields that are None are omitted.

    ``prefill_rate`` is in tokens per second. With ``honours_priority``,
    requests of high priority get tokens at twice the rate. This field is not
    reported.
    """

    max_streams: int | None = None
    max_prompt_tokens: int | None = None
    prefill_rate: float | None = None
    honours_priority: bool = True


class EngineStandin:
    """Answers chat completion requests with numbered words."""

    def __init__(
        self,
        model: str,
        *,
        checks_fence: bool = True,
        token_interval: float = 0,
        faults: EngineFaults | None = None,
        capacity: EngineCapacity | None = None,
    ) -> None:
        """Create an engine.

        :param model: model name in responses.
        :param checks_fence: whether to refuse orders with an outdated fence.
        :param token_interval: seconds between two tokens of a response.
        :param faults: faults and limits; by default no crashes.
        :param capacity: reported capacity and handling of priorities.
        """
        self._model = model
        self._checks_fence = checks_fence
        self._token_interval = token_interval
        self._faults = faults or EngineFaults()
        self._capacity = capacity or EngineCapacity()
        self._boot_scope = trio.CancelScope()
        self._streams: dict[str, trio.CancelScope] = {}
        self._cache_events: deque[dict[str, Any]] = deque(maxlen=_EVENT_HISTORY)
        self._last_event = 0
        self.boot_id = secrets.token_hex(8)
        self.fence = 0
        self.role = 'mixed'
        #: Number of requests in progress.
        self.running = 0
        #: Number of requests started, except those that crash the engine.
        self.received = 0
        #: Number of requests answered completely.
        self.finished = 0
        self.crashes = 0
        #: Applied orders, oldest first.
        self.orders: list[dict[str, Any]] = []
        #: Orders refused because their fence is outdated.
        self.refused_orders: list[dict[str, Any]] = []
        self.received_headers: deque[Mapping[str, str]] = deque(maxlen=1000)

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Start serving and return the bound port.

        :param nursery: nursery that runs the server.
        :param host: IP address to bind.
        :param port: TCP port, 0 for a free one.
        """
        return int(await nursery.start(self._serve_boots, host, port))

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer one request.

        :param request: request from a daemon or a test.
        :param response: writer for the response.
        """
        if request.path == '/v1/chat/completions':
            await self._handle_completion(request, response)
        elif request.path == '/orders':
            await self._handle_order(json.loads(request.body), response)
        elif request.path.startswith('/streams/'):
            await self._cancel(request.path.split('/')[2], response)
        else:
            await self._handle_query(request, response)

    async def _handle_query(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        if request.path == '/state':
            await response.send_json(_OK, self._get_state())
        elif request.path == REPORT_PATH:
            await response.send_json(_OK, self._get_report())
        elif request.path == '/events':
            await response.send_json(_OK, self._list_events(request.query))
        else:
            await response.send_json(_NOT_FOUND, {})

    async def _serve_boots(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve; after each crash, wait and restart with a new boot id."""
        bound = port
        while True:
            self._boot_scope = trio.CancelScope()
            with self._boot_scope:
                async with trio.open_nursery() as nursery:
                    server = HttpServer(self.respond)
                    bound = await nursery.start(
                        partial(server.serve, host, bound)
                    )
                    task_status.started(bound)
                    task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(self._faults.crash_downtime)
            self.boot_id = secrets.token_hex(8)

    async def _handle_completion(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        headers = {
            name.decode(): content.decode('latin-1')
            for name, content in request.headers
        }
        self.received_headers.append(headers)
        marker = self._faults.crash_marker
        if marker and marker in request.body:
            self.crashes += 1
            self._boot_scope.cancel()
            await trio.sleep_forever()
        if self.running >= self._faults.max_streams:
            await response.send_json(
                _UNAVAILABLE, {'error': 'too many streams'}
            )
            return
        stream_id = headers.get(_REQUEST_ID_HEADER) or secrets.token_hex(8)
        await self._run_stream(stream_id, json.loads(request.body), response)

    async def _run_stream(
        self, stream_id: str, body: dict[str, Any], response: ResponseWriter
    ) -> None:
        self.running += 1
        self.received += 1
        scope = trio.CancelScope()
        self._streams[stream_id] = scope
        try:
            with scope:
                await self._send_completion(body, response)
                self.finished += 1
        finally:
            self._remove_stream(stream_id)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError(
                'request was cancelled through /streams'
            )

    def _remove_stream(self, stream_id: str) -> None:
        self.running -= 1
        self._streams.pop(stream_id, None)

    async def _cancel(self, stream_id: str, response: ResponseWriter) -> None:
        scope = self._streams.get(stream_id)
        if scope is None:
            await response.send_json(_NOT_FOUND, {})
            return
        scope.cancel()
        await response.send_json(_OK, {})

    def _get_state(self) -> dict[str, Any]:
        last = self.orders[-1]['order_id'] if self.orders else None
        return {
            'boot_id': self.boot_id,
            'role': self.role,
            'load': self.running / self._faults.max_streams,
            'running': self.running,
            'finished': self.finished,
            'cancelled': self.received - self.finished - self.running,
            'last_order': last,
            'fence': self.fence,
            **self._get_capacity(),
        }

    def _get_capacity(self) -> dict[str, float]:
        reported = {
            'max_streams': self._capacity.max_streams,
            'max_prompt_tokens': self._capacity.max_prompt_tokens,
            'prefill_rate': self._capacity.prefill_rate,
        }
        return {
            name: amount
            for name, amount in reported.items()
            if amount is not None
        }

    def _get_report(self) -> dict[str, Any]:
        return {
            **self._get_state(),
            'headers': list(self.received_headers),
            'crashes': self.crashes,
        }

    def _list_events(self, query: str) -> dict[str, Any]:
        since = int(parse_qs(query).get('since', ['0'])[0])
        events = [
            event for event in self._cache_events if event['number'] > since
        ]
        return {
            'boot_id': self.boot_id,
            'last': self._last_event,
            'events': events,
        }

    def _add_cache_event(self, messages: list[Any]) -> None:
        """Record an event: the first message is in the prefix cache."""
        self._last_event += 1
        prefix = json.dumps(messages[:1])
        self._cache_events.append(
            {'number': self._last_event, 'kind': 'stored', 'prefix': prefix}
        )

    async def _handle_order(
        self, order: dict[str, Any], response: ResponseWriter
    ) -> None:
        if self._checks_fence and order['fence'] < self.fence:
            self.refused_orders.append(order)
            await response.send_json(_CONFLICT, {'fence': self.fence})
            return
        self.fence = max(self.fence, order['fence'])
        self.orders.append(order)
        if order['kind'] == 'role':
            self.role = order['argument']
        await response.send_json(_OK, self._get_state())

    async def _send_completion(
        self, body: dict[str, Any], response: ResponseWriter
    ) -> None:
        count = int(body.get('max_tokens') or _DEFAULT_TOKENS)
        messages = body.get('messages') or []
        prompt_tokens = len(json.dumps(messages)) // 4
        usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': count,
            'total_tokens': prompt_tokens + count,
        }
        self._add_cache_event(messages)
        if body.get('stream'):
            await self._stream_completion(count, usage, body, response)
            return
        await trio.sleep(self._get_interval(body) * count)
        word = _get_word_prefix(body)
        words = ''.join(f'{word}{index} ' for index in range(count))
        message = {'role': 'assistant', 'content': words}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        answer = {
            'id': 'chatcmpl-standin',
            'object': 'chat.completion',
            'created': 0,
            'model': self._model,
            'choices': [choice],
            'usage': usage,
        }
        await response.send_json(_OK, answer)

    async def _stream_completion(
        self,
        count: int,
        usage: dict[str, int],
        body: dict[str, Any],
        response: ResponseWriter,
    ) -> None:
        interval = self._get_interval(body)
        await response.send_head(_OK, _EVENT_STREAM)
        word = _get_word_prefix(body)
        for event in encode_word_events(self._model, count, word):
            await trio.sleep(interval)
            await response.send_chunk(event)
        if (body.get('stream_options') or {}).get('include_usage'):
            await response.send_chunk(encode_event(self._model, [], usage))
        await response.send_chunk(b'data: [DONE]\n\n')
        await response.end()

    def _get_interval(self, body: dict[str, Any]) -> float:
        """Return seconds between tokens, half as long at high priority.

        As in common engines, a lower number is a higher priority; negative
        numbers count as high.
        """
        is_urgent = int(body.get('priority') or 0) < 0
        if is_urgent and self._capacity.honours_priority:
            return self._token_interval / 2
        return self._token_interval


def _get_word_prefix(body: dict[str, Any]) -> str:
    """Return the text that each word of the response begins with.

    If ``echo`` is set in the body, it is the content of the last message, so
    that a test can match the response to its request.
    """
    if body.get('echo'):
        return str(body['messages'][-1]['content'])
    return 'word'
