"""Relays the response of an endpoint to the caller."""

from collections.abc import Awaitable, Callable

import trio

from clementinedyke.callers.context import RequestContext
from clementinedyke.callers.tokens import create_token_counter
from clementinedyke.callers.validation import strip_headers
from clementinedyke.codes import ResultCode
from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.body import AnswerHolding
from clementinedyke.http.client import (
    PORT_CLOSING_TIME,
    Framing,
    Headers,
    ResponseStream,
)
from clementinedyke.http.server import compile_result_headers

_CONTENT_LENGTH = b'content-length'
_MILLISECONDS_PER_SECOND = 1000


class ResponseRelay:
    """Relays one response and records its size and tokens in the outcome."""

    def __init__(
        self,
        context: RequestContext,
        upstream: ResponseStream,
        record_first_byte: Callable[[], None],
        max_buffered_bytes: int,
        check_listening: Callable[[], Awaitable[bool | None]],
    ) -> None:
        """Create the relay.

        :param context: request that the response belongs to.
        :param upstream: response of the endpoint, of which the status and
            headers have been received.
        :param record_first_byte: called when the first body byte has arrived.
        :param max_buffered_bytes: responses with a Content-Length up to this
            are received completely before they are relayed.
        :param check_listening: returns whether the endpoint listens, None if
            unknown.
        """
        self._check_listening = check_listening
        self._downstream = context.response
        self._holding = AnswerHolding(context.request.connection.memory)
        self._outcome = context.outcome
        self._upstream = upstream
        self._record_first_byte = record_first_byte
        self._max_buffered_bytes = max_buffered_bytes
        self._is_model = context.route.is_model
        self._counter = create_token_counter(
            upstream.headers, is_model=self._is_model
        )

    async def run(self) -> None:
        """Relay the complete response.

        :raises AnswerLostError: if the response breaks off before its end.
        """
        try:
            await self._relay()
        finally:
            self._record_result()

    async def _relay(self) -> None:
        self._outcome.status = self._upstream.status
        first = await self._upstream.receive_available()
        self._record_first_byte()
        if self._is_buffered():
            await self._send_buffered(first)
            return
        await self._downstream.send_head(
            self._upstream.status, self._compile_headers(), first
        )
        self._count_sent(first)
        await self._relay_rest()
        await self._check_end()
        await self._downstream.end()

    async def _relay_rest(self) -> None:
        while True:
            chunk = await self._upstream.receive_available()
            if not chunk:
                return
            await self._downstream.send_chunk(chunk)
            self._count_sent(chunk)

    async def _check_end(self) -> None:
        """Check that the body has ended where a whole one does.

        A body whose end nothing marks ends with its connection, and so does
        one whose endpoint was killed.

        :raises AnswerLostError: if it was cut off, or if this is unknown.
        """
        is_delimited = self._upstream.framing is not Framing.CONNECTION
        if not self._counter.is_complete(is_delimited=is_delimited):
            raise AnswerLostError('the answer was cut off')
        if is_delimited or self._counter.has_final_mark:
            return
        await trio.sleep(PORT_CLOSING_TIME / _MILLISECONDS_PER_SECOND)
        if not await self._check_listening():
            raise AnswerLostError('the endpoint may have ended with its answer')

    def _is_buffered(self) -> bool:
        length = dict(self._upstream.headers).get(_CONTENT_LENGTH)
        return length is not None and int(length) <= self._max_buffered_bytes

    async def _send_buffered(self, first: bytes) -> None:
        body = first + await self._upstream.receive_body(
            record_size=self._holding.record_size
        )
        self._counter.add(body)
        await self._check_end()
        headers = self._compile_headers()
        await self._downstream.send_head(
            self._upstream.status, headers, body, is_complete=True
        )
        self._outcome.body_bytes += len(body)

    def _compile_headers(self) -> Headers:
        upstream_headers = self._upstream.headers
        lengths = [
            pair for pair in upstream_headers if pair[0] == _CONTENT_LENGTH
        ]
        result_headers = compile_result_headers(
            ResultCode.OK, self._outcome.request_id
        )
        return [*strip_headers(upstream_headers), *lengths, *result_headers]

    def _count_sent(self, sent: bytes) -> None:
        self._outcome.body_bytes += len(sent)
        self._counter.add(sent)

    def _record_result(self) -> None:
        self._outcome.chunks = self._upstream.chunk_count
        if not self._is_model:
            return
        tokens = self._counter.get_tokens()
        self._outcome.prompt_tokens = tokens.prompt_tokens
        self._outcome.completion_tokens = tokens.completion_tokens
