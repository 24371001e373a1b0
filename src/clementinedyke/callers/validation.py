"""Validates request bodies and filters headers."""

import json
from collections.abc import Mapping
from typing import Any

from clementinedyke.codes import ResultCode
from clementinedyke.http.client import Headers
from clementinedyke.http.server import RequestError
from clementinedyke.records.core import ServiceRecord

#: Headers that are not forwarded: credentials and headers that apply to one
#: connection only.
_STRIPPED_HEADERS = frozenset(
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
#: JSON fields of a chat request that limit the number of output tokens; the
#: older name is first.
_OUTPUT_LIMITS = ('max_tokens', 'max_completion_tokens')
_MAX_OUTPUT_TOKENS = 1_000_000_000
#: Headers with this prefix are set by the daemon only and never forwarded.
_DAEMON_HEADER_PREFIX = b'clementinedyke-'


def parse_chat(body: bytes) -> Mapping[str, Any]:
    """Return the JSON object of a chat request.

    :param body: body as the caller sent it.
    :raises RequestError: if the body is not a valid chat request.
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
    """Refuse a prompt above ``max_prompt_tokens`` of its service.

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
    # bool is a subclass of int.
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
    """Return the headers that may be forwarded.

    :param headers: received headers, names in lower case.
    """
    connection_options = _get_connection_options(headers)
    return [
        pair
        for pair in headers
        if pair[0] not in _STRIPPED_HEADERS
        and pair[0] not in connection_options
        and not pair[0].startswith(_DAEMON_HEADER_PREFIX)
    ]


def _get_connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names that Connection headers list."""
    options = [
        option.strip().lower()
        for name, header_value in headers
        if name == b'connection'
        for option in header_value.split(b',')
    ]
    return frozenset(options)
