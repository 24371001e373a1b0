"""Translates HTTP messages to and from the types of package ``entry``."""

import math
import re

import msgspec
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.decimals import parse_decimal
from clementinedyke.decoding import decode_json
from clementinedyke.entry.catalog import EntryRequest, PromptPart
from clementinedyke.entry.endpoint_protocol import (
    AnswerHead,
    EndpointLoad,
    KvCacheReference,
    PrefillAnswer,
    SendOptions,
)
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Headers, HttpRequest
from clementinedyke.http.message import ServerRequest

_MILLISECONDS_PER_SECOND = 1000
#: Largest time in ms or count that is read from a header.
_MAX_NUMBER = 10**9
_FRACTION_DIGITS = 6
#: Unreadable headers of endpoints are logged once in this time, since each
#: answer may have one.
_WARNING_INTERVAL_SECONDS = 5
_MAX_LOGGED_TEXT = 40
#: The endpoint at the address is not the one in X-Expect-Instance.
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
_REQUEST_ID = b'x-request-id'
_API_KEY = b'x-key'
_DEADLINE = b'x-deadline-ms'
_TOKEN_COUNTS = b'x-token-count'
#: Parts of the prompt as ``id:tokens``, separated by commas; requests with the
#: same part send the same id.
_PROMPT_PARTS = b'x-prefix-hash'
#: Handles are sent in a header and in a path.
_HANDLE = re.compile('[!-~]{1,200}')
_LAST_EVENT = b'last-event-id'
_RESUMED_REQUEST = b'resumes'
_SIGNATURE = b'x-server-signature'
_LOAD = b'x-instance-load'
#: Running requests, waiting requests and slots.
_LOAD_FIGURES = 3
_NOT_EXECUTED = b'x-not-executed'
_RATE_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_RETRY_AFTER = b'retry-after'
#: Request headers that are not forwarded: hop-by-hop headers, and headers that
#: only the daemon may set, so that callers can't forge them.
_UNFORWARDED_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'transfer-encoding',
        b'content-length',
        b'te',
        b'trailer',
        b'upgrade',
        b'expect',
        _API_KEY,
        _DEADLINE,
        _LAST_EVENT,
        b'x-tenant',
        b'x-expect-instance',
        b'x-expect-version',
        b'x-stage',
        b'x-kv-source',
        b'x-kv-hold',
        b'x-kv-backup',
        b'x-pin-ms',
        b'x-request-priority',
        b'kv-fetch',
    )
)
#: Hop-by-hop headers of answers. Content-Length is among them because the
#: daemon frames the body itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-connection',
        b'transfer-encoding',
        b'trailer',
        b'upgrade',
    )
)


class _PrefillBody(msgspec.Struct):
    handle: str
    tokens: int


class RequestTranslator:
    """Translates between types of ``entry`` and headers of the platform.

    A prefill is a request that only processes the prompt. Its answer has a
    handle by which another engine fetches the resulting KV cache.
    """

    def read_request(self, request: ServerRequest) -> EntryRequest | None:
        """Decode a caller's request; return None if it has no request id.

        :param request: request with its complete body.
        """
        fields = dict(request.headers)
        request_id = _get_text(fields, _REQUEST_ID)
        caller_timeout = _get_number(fields, _DEADLINE)
        if not request_id:
            return None
        prompt_tokens, output_tokens = _parse_token_counts(fields)
        query = f'?{request.query}' if request.query else ''
        host = _get_text(fields, b'host') or ''
        return EntryRequest(
            request_id=request_id,
            method=request.method,
            target=f'{request.path}{query}',
            host=host.partition(':')[0].lower(),
            path=request.path,
            body=request.body,
            forwarded_headers=_select_forwarded_headers(request.headers),
            key=_get_text(fields, _API_KEY),
            caller_timeout=caller_timeout,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt_parts=_parse_prompt_parts(fields),
            last_event_id=_get_number(fields, _LAST_EVENT),
            resumed_request=_get_text(fields, _RESUMED_REQUEST) or None,
        )

    def compile_request(
        self, request: EntryRequest, options: SendOptions
    ) -> HttpRequest:
        """Return the request to send to an endpoint.

        :param request: caller's request.
        :param options: endpoint and the values of the headers that the daemon
            adds.
        """
        added = {
            'X-Deadline-Ms': str(options.time_left),
            'X-Expect-Instance': options.endpoint.endpoint_id,
        }
        if options.customer is not None:
            added['X-Tenant'] = options.customer
        if options.priority is not None:
            added['X-Request-Priority'] = str(options.priority)
        if options.is_prefill:
            added['X-Stage'] = 'prefill'
        if options.kv_cache is not None:
            source = options.kv_cache.endpoint.address
            added['X-Kv-Source'] = f'{source}/{options.kv_cache.handle}'
        if options.after_event is not None:
            added['Last-Event-Id'] = str(options.after_event)
        headers = [
            *request.forwarded_headers,
            *((name.encode(), text.encode()) for name, text in added.items()),
        ]
        return HttpRequest(
            request.method, request.target, headers, request.body
        )

    def compile_release(self, kv_cache: KvCacheReference) -> HttpRequest:
        """Return the request that frees a KV cache at its engine.

        :param kv_cache: KV cache that no engine has fetched.
        """
        expected = (
            b'X-Expect-Instance',
            kv_cache.endpoint.endpoint_id.encode(),
        )
        return HttpRequest(
            'DELETE', f'/v1/kv-handle/{kv_cache.handle}', [expected]
        )

    def read_head(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the status and headers of an endpoint's answer.

        :param status: HTTP status.
        :param headers: header names in lower case and their values.
        """
        fields = dict(headers)
        return AnswerHead(
            status=status,
            request_id=_get_text(fields, _REQUEST_ID),
            is_signed=_SIGNATURE in fields,
            was_not_run=_NOT_EXECUTED in fields
            or status == _STATUS_MISDIRECTED,
            load=_parse_load(fields),
            forwarded_headers=[
                pair for pair in headers if pair[0] not in _HOP_BY_HOP_HEADERS
            ],
            rate_limit=_parse_fraction(_get_text(fields, _RATE_LIMIT)),
            # A 421 is of another endpoint that has the address now.
            is_leaving=status != _STATUS_MISDIRECTED
            and _get_text(fields, _LEAVING) == '1',
            requested_pause=_parse_pause(status, fields),
        )

    def read_prefill(self, body: bytes) -> PrefillAnswer | None:
        """Decode the answer to a prefill; return None if it is invalid.

        :param body: complete body.
        """
        try:
            answer = decode_json(body, _PrefillBody)
        except ProtocolError as error:
            logging.warning('event=prefill_answer_unreadable error=%s', error)
            return None
        if not _HANDLE.fullmatch(answer.handle):
            logging.warning(
                'event=prefill_answer_unreadable handle=%r',
                answer.handle[:_MAX_LOGGED_TEXT],
            )
            return None
        return PrefillAnswer(answer.handle, answer.tokens)

    def compile_refusal_headers(
        self, retry_after: Milliseconds | None
    ) -> Headers:
        """Return the headers of a refusal.

        :param retry_after: delay before a retry in milliseconds; None adds no
            header.
        """
        if retry_after is None:
            return []
        # RFC 9110 allows whole seconds only, but the platform's callers accept
        # fractions.
        seconds = retry_after / _MILLISECONDS_PER_SECOND
        return [(b'Retry-After', f'{seconds:.3f}'.encode())]


def _select_forwarded_headers(
    headers: Headers,
) -> tuple[tuple[bytes, bytes], ...]:
    connection_options = {
        name.strip().lower()
        for key, content in headers
        if key == b'connection'
        for name in content.split(b',')
    }
    return tuple(
        (name, content)
        for name, content in headers
        if name not in _UNFORWARDED_HEADERS and name not in connection_options
    )


def _get_text(fields: dict[bytes, bytes], name: bytes) -> str | None:
    content = fields.get(name)
    return None if content is None else content.decode('latin-1').strip()


def _get_number(fields: dict[bytes, bytes], name: bytes) -> int | None:
    text = _get_text(fields, name)
    return None if text is None else parse_decimal(text, _MAX_NUMBER)


def _parse_fraction(text: str | None) -> float | None:
    """Return a decimal fraction, None if it is missing or invalid."""
    if text is None:
        return None
    whole, _, fraction = text.partition('.')
    # Six digits are enough for rates and times; more would exceed the bound.
    kept = fraction[:_FRACTION_DIGITS]
    numbers = [
        parse_decimal(part or '0', _MAX_NUMBER) for part in (whole, kept)
    ]
    known = [number for number in numbers if number is not None]
    if len(known) != 2 or not (whole or fraction):
        _warn_unreadable(text)
        return None
    return known[0] + known[1] / math.pow(10, len(kept))


def _parse_pause(
    status: int, fields: dict[bytes, bytes]
) -> Milliseconds | None:
    """Return the pause in ms for which a 503 asks, None without one.

    Retry-After has seconds, and fractions are allowed.
    """
    if status != _STATUS_UNAVAILABLE:
        return None
    seconds = _parse_fraction(_get_text(fields, _RETRY_AFTER))
    return None if seconds is None else int(seconds * _MILLISECONDS_PER_SECOND)


def _parse_token_counts(fields: dict[bytes, bytes]) -> tuple[int, int]:
    """Return the prompt's tokens and the maximum of generated tokens.

    A missing or malformed count is 0.
    """
    prompt, _, output = (_get_text(fields, _TOKEN_COUNTS) or '').partition(',')
    return (
        parse_decimal(prompt, _MAX_NUMBER) or 0,
        parse_decimal(output, _MAX_NUMBER) or 0,
    )


def _parse_prompt_parts(fields: dict[bytes, bytes]) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (_get_text(fields, _PROMPT_PARTS) or '').split(','):
        part_id, _, text = entry.strip().partition(':')
        tokens = parse_decimal(text, _MAX_NUMBER)
        if part_id and tokens is not None:
            parts.append(PromptPart(part_id, tokens))
    return tuple(parts)


def _parse_load(fields: dict[bytes, bytes]) -> EndpointLoad | None:
    """Return the load of an endpoint, None if it is missing or invalid.

    Further figures may follow the known ones.
    """
    text = _get_text(fields, _LOAD)
    if text is None:
        return None
    figures = text.split(',')[:_LOAD_FIGURES]
    numbers = [parse_decimal(figure, _MAX_NUMBER) for figure in figures]
    known = [number for number in numbers if number is not None]
    if len(known) != _LOAD_FIGURES:
        _warn_unreadable(text)
        return None
    return EndpointLoad(*known)


def _warn_unreadable(text: str) -> None:
    logging.log_every_n_seconds(
        logging.WARNING,
        'event=answer_header_unreadable text=%r',
        _WARNING_INTERVAL_SECONDS,
        text[:_MAX_LOGGED_TEXT],
    )
