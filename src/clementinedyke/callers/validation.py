"""Checks of request bodies and headers."""

import json
from collections.abc import Mapping
from typing import Any

from clementinedyke.codes import ResultCode
from clementinedyke.http_client import Headers
from clementinedyke.http_server import RequestError

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
    return content


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
