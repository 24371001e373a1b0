"""Counts the tokens of a response without decoding each event."""

from typing import Protocol

import msgspec

from clementinedyke.decoding import decode_json
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Headers

_EVENT_STREAM = b'text/event-stream'
_JSON = b'application/json'
#: Size of the end of a stream that is searched for the usage event.
_TAIL_BYTES = 4096
#: Longer JSON responses are not decoded and count as 0 tokens.
_MAX_JSON_BYTES = 4194304
_DATA_PREFIX = b'data:'
_EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
_FINAL_EVENTS = (b'data: [DONE]\n\n', b'data: [DONE]\r\n\r\n')
#: JSON escapes quotation marks inside strings, so that these bytes always are
#: a key.
_CONTENT_KEY = b'"content":'
_ROLE_KEY = b'"role":'


class Tokens(msgspec.Struct, frozen=True):
    """The ``usage`` object of the chat protocol."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _ChatResponse(msgspec.Struct):
    usage: Tokens | None = None


class TokenCounter(Protocol):
    """Counts tokens in the bytes of a response while it is relayed."""

    def add(self, received: bytes) -> None:
        """Process the next bytes of the body."""

    def get_tokens(self) -> Tokens:
        """Return the tokens of the bytes processed so far."""

    def is_complete(self, *, is_delimited: bool) -> bool:
        """Return whether the bytes processed so far are a whole body.

        ``is_delimited`` is whether the framing of the body marked its end.
        """

    @property
    def has_final_mark(self) -> bool:
        """Whether the content of a whole body shows where it ends."""


class NullTokenCounter:
    """Counter of responses without tokens, those of plain services."""

    def add(self, received: bytes) -> None:
        """Ignore the bytes.

        :param received: next bytes of the body.
        """

    def get_tokens(self) -> Tokens:
        """Return zero tokens."""
        return Tokens()

    def is_complete(self, *, is_delimited: bool) -> bool:
        """Return true, since nothing is known of the body.

        :param is_delimited: whether the framing of the body marked its end.
        """
        return True

    @property
    def has_final_mark(self) -> bool:
        """False, since nothing is known of the body."""
        return False


class JsonTokenCounter:
    """Counter of a response that is one JSON object."""

    def __init__(self, is_declared: bool = True) -> None:
        """Create an empty buffer.

        :param is_declared: whether the response declares its type as JSON.
        """
        self._is_declared = is_declared
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, received: bytes) -> None:
        """Buffer the bytes up to a maximum size.

        :param received: next bytes of the body.
        """
        self._size += len(received)
        if self._size <= _MAX_JSON_BYTES:
            self._parts.append(received)

    def get_tokens(self) -> Tokens:
        """Return the reported usage, or 0 if the JSON is incomplete."""
        return _parse_usage(b''.join(self._parts)) or Tokens()

    def is_complete(self, *, is_delimited: bool) -> bool:
        """Return whether the framing marked the end or the JSON is complete.

        :param is_delimited: whether the framing of the body marked its end.
        """
        if is_delimited or not self.has_final_mark:
            return True
        try:
            decode_json(b''.join(self._parts), object)
        except ProtocolError:
            return False
        return True

    @property
    def has_final_mark(self) -> bool:
        """Whether the body is JSON that is short enough to be decoded."""
        return self._is_declared and self._size <= _MAX_JSON_BYTES


class EventTokenCounter:
    """Counter of a stream of server-sent events.

    The usage event of the engine takes precedence. Without it, events with
    content are counted. The first event, which has a role, and keys that are
    split between two reads are not counted, so that the count is never too
    high.
    """

    def __init__(self, has_final_event: bool = True) -> None:
        """Create a counter of 0 events.

        :param has_final_event: whether a whole stream ends with the final
            event of the chat protocol.
        """
        self._has_final_event = has_final_event
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
        """Return the reported usage, else the number of content events."""
        for line in reversed(self._tail.split(b'\n')):
            if line.startswith(_DATA_PREFIX) and b'"usage"' in line:
                usage = _parse_usage(line.removeprefix(_DATA_PREFIX))
                if usage is not None:
                    return usage
        return Tokens(
            completion_tokens=max(0, self._content_events - self._role_events)
        )

    def is_complete(self, *, is_delimited: bool) -> bool:
        """Return whether the stream ended after an event.

        Without a mark of its end, that event must be the final one if the
        protocol has one: an engine that fails closes the connection, too.

        :param is_delimited: whether the framing of the body marked its end.
        """
        if is_delimited or not self._has_final_event:
            return not self._tail or self._tail.endswith(_EVENT_ENDS)
        return self._tail.endswith(_FINAL_EVENTS)

    @property
    def has_final_mark(self) -> bool:
        """Whether a whole stream ends with a known event."""
        return self._has_final_event


def create_token_counter(headers: Headers, *, is_model: bool) -> TokenCounter:
    """Return the counter for the content type of a response.

    :param headers: headers of the response, names in lower case.
    :param is_model: whether an engine sent it, not a plain service.
    """
    content_type = dict(headers).get(b'content-type', b'')
    if content_type.startswith(_EVENT_STREAM):
        return EventTokenCounter(has_final_event=is_model)
    if not is_model:
        return NullTokenCounter()
    return JsonTokenCounter(content_type.startswith(_JSON))


def _parse_usage(text: bytes) -> Tokens | None:
    try:
        return decode_json(text, _ChatResponse).usage
    except ProtocolError:
        return None
