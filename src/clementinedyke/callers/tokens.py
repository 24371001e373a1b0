"""Counts the tokens of an answer without decoding each event."""

from typing import Protocol

import msgspec

from clementinedyke.http.client import Headers

_EVENT_STREAM = b'text/event-stream'
#: The final usage event is searched for in so many last bytes.
_TAIL_BYTES = 4096
#: Longer whole answers are not decoded and count no tokens.
_MAX_WHOLE_BYTES = 4194304
_DATA_PREFIX = b'data:'
#: In JSON text a quotation mark inside a string is escaped, so these bytes
#: are always a key.
_CONTENT_KEY = b'"content":'
_ROLE_KEY = b'"role":'


class Tokens(msgspec.Struct, frozen=True):
    """The ``usage`` object of the chat protocol."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Answer(msgspec.Struct):
    usage: Tokens | None = None


class TokenCounter(Protocol):
    """Looks at the bytes of an answer as they pass."""

    def add(self, received: bytes) -> None:
        """Take the next bytes of the body."""

    def get_tokens(self) -> Tokens:
        """Return the tokens of the bytes taken so far."""


class NullTokenCounter:
    """Counter of answers that have no tokens."""

    def add(self, received: bytes) -> None:
        """Ignore the bytes.

        :param received: next bytes of the body.
        """

    def get_tokens(self) -> Tokens:
        """Return zero tokens."""
        return Tokens()


class JsonTokenCounter:
    """Counter of an answer that is one JSON object."""

    def __init__(self) -> None:
        """Create the counter."""
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, received: bytes) -> None:
        """Keep the bytes up to a bound.

        :param received: next bytes of the body.
        """
        self._size += len(received)
        if self._size <= _MAX_WHOLE_BYTES:
            self._parts.append(received)

    def get_tokens(self) -> Tokens:
        """Return the usage in the answer, or zero if it is not whole."""
        return _parse_usage(b''.join(self._parts)) or Tokens()


class EventTokenCounter:
    """Counter of a stream of server-sent events.

    The engine's usage event decides. Without it, events with content are
    counted; the event that opens the answer with a role and a key that is
    split between two reads are left out, so the count is never too high.
    """

    def __init__(self) -> None:
        """Create the counter."""
        self._tail = b''
        self._content_events = 0
        self._role_events = 0

    def add(self, received: bytes) -> None:
        """Count the events in the bytes.

        :param received: next bytes of the body.
        """
        self._content_events += received.count(_CONTENT_KEY)
        self._role_events += received.count(_ROLE_KEY)
        self._tail = (self._tail + received)[-_TAIL_BYTES:]

    def get_tokens(self) -> Tokens:
        """Return the engine's usage, else the number of content events."""
        for line in reversed(self._tail.split(b'\n')):
            if line.startswith(_DATA_PREFIX) and b'"usage"' in line:
                usage = _parse_usage(line.removeprefix(_DATA_PREFIX))
                if usage is not None:
                    return usage
        return Tokens(
            completion_tokens=max(0, self._content_events - self._role_events)
        )


def create_token_counter(headers: Headers) -> TokenCounter:
    """Return the counter for the answer of an engine.

    :param headers: headers of the answer, names in lower case.
    """
    content_type = dict(headers).get(b'content-type', b'')
    if content_type.startswith(_EVENT_STREAM):
        return EventTokenCounter()
    return JsonTokenCounter()


def _parse_usage(text: bytes) -> Tokens | None:
    try:
        return msgspec.json.decode(text, type=_Answer).usage
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
