"""Stand-in of a model engine with streaming and orders."""

import json
from collections.abc import Mapping
from functools import partial
from typing import Any

import trio

from clementinedyke.http_server import (
    HttpServer,
    ResponseWriter,
    ServerRequest,
)

_OK = 200
_CONFLICT = 409
_NOT_FOUND = 404
_EVENT_STREAM = [(b'Content-Type', b'text/event-stream')]
_DEFAULT_TOKENS = 8


class EngineStandin:
    """Answers chat completions with numbered words."""

    def __init__(
        self,
        model: str,
        *,
        checks_fence: bool = True,
        token_interval: float = 0,
    ) -> None:
        """Create an engine.

        :param model: model name in answers.
        :param checks_fence: whether orders with an old fence are refused.
        :param token_interval: seconds between two tokens of a stream.
        """
        self._model = model
        self._checks_fence = checks_fence
        self._token_interval = token_interval
        self._server = HttpServer(self.respond)
        self.fence = 0
        self.role = 'mixed'
        self.running = 0
        self.boot_id = 1
        #: Orders that were obeyed, and those refused for their fence.
        self.orders: list[dict[str, Any]] = []
        self.refused_orders: list[dict[str, Any]] = []
        self.received_headers: list[Mapping[str, str]] = []

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Serve in a nursery and return the bound port.

        :param nursery: nursery that runs the server.
        :param host: IP number to bind.
        :param port: TCP port, 0 for a free one.
        """
        serve = partial(self._server.serve, host, port)
        return int(await nursery.start(serve))

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer one request.

        :param request: request from a daemon.
        :param response: writer of the answer.
        """
        if request.path == '/v1/chat/completions':
            self.received_headers.append(
                {
                    name.decode(): content.decode()
                    for name, content in request.headers
                }
            )
            self.running += 1
            try:
                await self._complete(json.loads(request.body), response)
            finally:
                self.running -= 1
        elif request.path == '/state':
            await response.send_json(_OK, self._get_state())
        elif request.path == '/orders':
            await self._take_order(json.loads(request.body), response)
        else:
            await response.send_json(_NOT_FOUND, {})

    def _get_state(self) -> dict[str, Any]:
        last = self.orders[-1]['order_id'] if self.orders else None
        return {
            'boot_id': self.boot_id,
            'role': self.role,
            'running': self.running,
            'last_order': last,
            'fence': self.fence,
        }

    async def _take_order(
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

    async def _complete(
        self, body: dict[str, Any], response: ResponseWriter
    ) -> None:
        count = int(body.get('max_tokens') or _DEFAULT_TOKENS)
        words = [f'word{index} ' for index in range(count)]
        usage = {
            'prompt_tokens': len(json.dumps(body.get('messages'))) // 4,
            'completion_tokens': count,
            'total_tokens': count,
        }
        if body.get('stream'):
            await self._stream(words, usage, body, response)
            return
        await trio.sleep(self._token_interval * count)
        message = {'role': 'assistant', 'content': ''.join(words)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        answer = self._compile_answer('chat.completion', [choice])
        await response.send_json(_OK, {**answer, 'usage': usage})

    async def _stream(
        self,
        words: list[str],
        usage: dict[str, int],
        body: dict[str, Any],
        response: ResponseWriter,
    ) -> None:
        await response.send_head(_OK, _EVENT_STREAM)
        for word in words:
            await trio.sleep(self._token_interval)
            choice = {'index': 0, 'delta': {'content': word}}
            await self._send_event(response, [choice])
        final = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
        await self._send_event(response, [final])
        if (body.get('stream_options') or {}).get('include_usage'):
            await self._send_event(response, [], usage)
        await response.send_chunk(b'data: [DONE]\n\n')
        await response.end()

    async def _send_event(
        self,
        response: ResponseWriter,
        choices: list[dict[str, Any]],
        usage: dict[str, int] | None = None,
    ) -> None:
        answer = self._compile_answer('chat.completion.chunk', choices)
        if usage:
            answer['usage'] = usage
        await response.send_chunk(f'data: {json.dumps(answer)}\n\n'.encode())

    def _compile_answer(
        self, kind: str, choices: list[dict[str, Any]]
    ) -> dict[str, Any]:
        return {
            'id': 'chatcmpl-standin',
            'object': kind,
            'created': 0,
            'model': self._model,
            'choices': choices,
        }
