"""Passes the answer of an endpoint on to the caller."""

from collections.abc import Callable

from clementinedyke.callers.context import RequestContext
from clementinedyke.callers.tokens import (
    NoTokenCounter,
    TokenCounter,
    create_token_counter,
)
from clementinedyke.callers.validation import strip_headers
from clementinedyke.codes import ResultCode
from clementinedyke.http.client import Headers, ResponseStream
from clementinedyke.http.server import compile_result_headers

_LENGTH = b'content-length'


class AnswerRelay:
    """Relays one answer and notes on the outcome what passed."""

    def __init__(
        self,
        context: RequestContext,
        answer: ResponseStream,
        note_first_byte: Callable[[], None],
        max_held_bytes: int,
    ) -> None:
        """Create the relay.

        :param context: request that is answered.
        :param answer: answer whose head has arrived.
        :param note_first_byte: called when the first body byte has arrived.
        :param max_held_bytes: answers up to this length are received whole
            before they are passed on.
        """
        self._response = context.response
        self._outcome = context.outcome
        self._answer = answer
        self._note_first_byte = note_first_byte
        self._max_held_bytes = max_held_bytes
        self._counter: TokenCounter = NoTokenCounter()
        if context.route.is_model:
            self._counter = create_token_counter(answer.headers)

    async def run(self) -> None:
        """Relay the answer to its end.

        :raises AnswerLostError: if the endpoint breaks off.
        """
        try:
            await self._copy()
        finally:
            self._note_result()

    async def _copy(self) -> None:
        self._outcome.status = self._answer.status
        first = await self._answer.receive_available()
        self._note_first_byte()
        if self._is_held():
            await self._send_held(first)
            return
        await self._response.send_head(
            self._answer.status, self._compile_headers(), first
        )
        self._count(first)
        await self._copy_rest()
        await self._response.end()

    async def _copy_rest(self) -> None:
        while True:
            received = await self._answer.receive_available()
            if not received:
                return
            await self._response.send_chunk(received)
            self._count(received)

    def _is_held(self) -> bool:
        length = dict(self._answer.headers).get(_LENGTH)
        return length is not None and int(length) <= self._max_held_bytes

    async def _send_held(self, first: bytes) -> None:
        body = first + await self._answer.receive_body()
        headers = self._compile_headers()
        await self._response.send_head(
            self._answer.status, headers, body, is_complete=True
        )
        self._count(body)

    def _compile_headers(self) -> Headers:
        received = self._answer.headers
        lengths = [pair for pair in received if pair[0] == _LENGTH]
        own = compile_result_headers(ResultCode.OK, self._outcome.request_id)
        return [*strip_headers(received), *lengths, *own]

    def _count(self, passed: bytes) -> None:
        self._outcome.body_bytes += len(passed)
        self._counter.add(passed)

    def _note_result(self) -> None:
        tokens = self._counter.get_tokens()
        self._outcome.chunks = self._answer.chunk_count
        self._outcome.prompt_tokens = tokens.prompt_tokens
        self._outcome.completion_tokens = tokens.completion_tokens
