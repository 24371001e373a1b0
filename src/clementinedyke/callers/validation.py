"""Checks of request bodies and headers."""

import json
from collections.abc import Mapping
from typing import Any

from clementinedyke.codes import ResultCode
from clementinedyke.http.client import Headers
from clementinedyke.http.server import RequestError
from clementinedyke.records.core import ServiceRecord

#: Headers that never reach an endpoint or a caller: the key, and those that
#: belong to one connection.
_STRIPPED = frozenset(
    (
        b'authorization',
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
#: Members of a chat request that bound its output, the older name first.
_OUTPUT_LIMITS = ('max_tokens', 'max_completion_tokens')
_MAX_OUTPUT_TOKENS = 1_000_000_000
#: Our own headers are set by the daemon only.
_OWN_PREFIX = b'clementinedyke-'


def parse_chat(body: bytes) -> Mapping[str, Any]:
    """Return the JSON object of a chat request.

    :param body: body as the caller sent it.
    :raises RequestError: if the body does not follow the chat protocol.
    """
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestError(
            ResultCode.BODY_INVALID, f'body is not JSON: {error}'
        ) from error
    if not isinstance(content, dict):
        raise RequestError(ResultCode.BODY_INVALID, 'body is not an object')
    if not isinstance(content.get('model'), str):
        raise RequestError(ResultCode.BODY_INVALID, "'model' is not a string")
    if not isinstance(content.get('messages'), list):
        raise RequestError(ResultCode.BODY_INVALID, "'messages' is not a list")
    for name in _OUTPUT_LIMITS:
        _check_output_limit(name, content.get(name))
    return content


def check_prompt(service: ServiceRecord, prompt_tokens: int) -> None:
    """Refuse a prompt that is longer than its service takes.

    :param service: service of the request.
    :param prompt_tokens: estimated tokens of the prompt.
    :raises RequestError: if the prompt is too long.
    """
    limit = service.max_prompt_tokens
    if limit is not None and prompt_tokens > limit:
        raise RequestError(
            ResultCode.BODY_TOO_LARGE,
            f'prompt of about {prompt_tokens} tokens; service '
            f'{service.name!r} takes {limit}',
        )


def _check_output_limit(name: str, limit: object) -> None:
    if limit is None:
        return
    # True is an int in Python.
    if isinstance(limit, int) and not isinstance(limit, bool):
        is_valid = 1 <= limit <= _MAX_OUTPUT_TOKENS
    else:
        is_valid = False
    if not is_valid:
        raise RequestError(
            ResultCode.BODY_INVALID,
            f'{name!r} is not a number from 1 to {_MAX_OUTPUT_TOKENS}',
        )


def strip_headers(headers: Headers) -> Headers:
    """Return the headers that pass from one peer to another.

    :param headers: received headers, names in lower case.
    """
    named = _get_connection_options(headers)
    return [
        pair
        for pair in headers
        if pair[0] not in _STRIPPED
        and pair[0] not in named
        and not pair[0].startswith(_OWN_PREFIX)
    ]


def _get_connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the headers that a Connection header limits to its connection."""
    options = [
        option.strip().lower()
        for name, listed in headers
        if name == b'connection'
        for option in listed.split(b',')
    ]
    return frozenset(options)
