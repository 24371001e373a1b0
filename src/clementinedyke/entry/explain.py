"""Explains the outcome of a request from the logs of the daemons."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from clementinedyke.codes import ResultCode, get_details

_LINE_START = '{"at_ms"'


def select_lines(lines: Iterable[str], request_id: str) -> list[dict[str, Any]]:
    """Return the log lines about a request, in the order of the input.

    :param lines: log lines of one or more daemons; text before the JSON
        object, such as a log collector's time stamp, is ignored.
    :param request_id: request id sent by the caller.
    """
    return [
        line
        for line in _parse_lines(lines)
        if line.get('request') == request_id
    ]


def compile_explanation(lines: Iterable[str], request_id: str) -> str:
    """Return a description of a request's outcome, one sentence per line.

    :param lines: log lines of one or more daemons.
    :param request_id: request id sent by the caller.
    """
    found = select_lines(lines, request_id)
    if not found:
        return f'no line found for request {request_id}'
    return '\n'.join(_format_line(line) for line in found)


def _parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in lines:
        start = text.find(_LINE_START)
        if start < 0:
            continue
        try:
            decoded = json.loads(text[start:])
        except ValueError:
            # The line was truncated when its process was killed.
            continue
        if isinstance(decoded, dict):
            yield decoded


def _format_line(line: dict[str, Any]) -> str:
    origin = f'{line.get("host")} at {line.get("at_ms")} ms'
    if line.get('event') == 'request_refused':
        return (
            f'{origin}: refused before an endpoint was selected: '
            f'{line.get("reason")} ({_format_code(line.get("code"))})'
        )
    path = ' -> '.join(line.get('path') or ['no endpoint'])
    failures = '; '.join(line.get('failures') or ())
    return (
        f'{origin}: route {line.get("route")} of customer '
        f'{line.get("customer")}, {line.get("duration_ms")} ms, via {path}; '
        f'prompt read after {line.get("read_ms")} ms, first event after '
        f'{line.get("first_event_ms")} ms; {line.get("reason") or "answered"} '
        f'({_format_code(line.get("code"))}); failures: {failures or "none"}'
    )


def _format_code(code: int | None) -> str:
    if code is None:
        return 'answer no longer required'
    result = ResultCode(code)
    details = get_details(result)
    return f'{code} {result.name}: {details.execution.value}'
