"""Tells from the logs of daemons what became of one request."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from clementinedyke.codes import ResultCode, get_details

_START = '{"at_ms"'


def select_lines(lines: Iterable[str], request_id: str) -> list[dict[str, Any]]:
    """Return the log lines that speak of a request, in their order.

    :param lines: lines of one or more daemons; text before a line's first
        brace, such as a collector's time stamp, is passed over.
    :param request_id: id that the caller sent.
    """
    return [
        line for line in _decode(lines) if line.get('request') == request_id
    ]


def compile_explanation(lines: Iterable[str], request_id: str) -> str:
    """Return what became of a request, a sentence a line.

    :param lines: lines of one or more daemons.
    :param request_id: id that the caller sent.
    """
    found = select_lines(lines, request_id)
    if not found:
        return f'no line speaks of request {request_id}'
    return '\n'.join(_tell(line) for line in found)


def _decode(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in lines:
        start = text.find(_START)
        if start < 0:
            continue
        try:
            decoded = json.loads(text[start:])
        except ValueError:
            # A line that was cut when its process was killed.
            continue
        if isinstance(decoded, dict):
            yield decoded


def _tell(line: dict[str, Any]) -> str:
    place = f'{line.get("host")} at {line.get("at_ms")} ms'
    if line.get('event') == 'request_refused':
        return (
            f'{place}: refused before it was placed: {line.get("reason")} '
            f'({_describe(line.get("code"))})'
        )
    path = ' -> '.join(line.get('path') or ['no endpoint'])
    failures = '; '.join(line.get('failures') or ())
    return (
        f'{place}: route {line.get("route")} of customer '
        f'{line.get("customer")}, {line.get("duration_ms")} ms, via {path}; '
        f'prompt read after {line.get("read_ms")} ms, first event after '
        f'{line.get("first_event_ms")} ms; {line.get("reason") or "answered"} '
        f'({_describe(line.get("code"))}); failures: {failures or "none"}'
    )


def _describe(code: int | None) -> str:
    if code is None:
        return 'no answer was owed any more'
    result = ResultCode(code)
    details = get_details(result)
    return f'{code} {result.name}: {details.execution.value}'
