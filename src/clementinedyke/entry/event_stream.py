"""Incremental parser that finds the events in a server-sent event stream."""

import re

from clementinedyke.exceptions import AnswerLostError

_EVENT_END = re.compile(rb'\r?\n\r?\n')
#: Bytes at the end of the buffer that may be the start of an event's end.
_END_OVERLAP = 3
#: Largest event; one holds some tokens. A faulty engine may never end it.
_MAX_EVENT_BYTES = 1048576
_EVENT_ID = re.compile(rb'^id:[ ]?(\d{1,18})[ ]*\r?$', re.MULTILINE)


class EventSplitter:
    """Returns complete events only and buffers the rest.

    An engine that fails may leave a partial event. The engine that resumes
    the stream sends that event again from its start, so a partial event must
    not be forwarded.
    """

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._remainder = bytearray()
        self._last_id: int | None = None

    @property
    def last_id(self) -> int | None:
        """Id of the last complete event; None if no event had an id."""
        return self._last_id

    @property
    def pending_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return len(self._remainder)

    def split_events(self, received: bytes) -> bytes:
        """Return the complete events in the buffered and the new bytes.

        :param received: next bytes of the stream.
        :raises AnswerLostError: if an event is too large.
        """
        searched = max(0, len(self._remainder) - _END_OVERLAP)
        self._remainder += received
        end = 0
        for found in _EVENT_END.finditer(self._remainder, searched):
            end = found.end()
        events = bytes(self._remainder[:end])
        del self._remainder[:end]
        if len(self._remainder) > _MAX_EVENT_BYTES:
            raise AnswerLostError(
                f'event of more than {_MAX_EVENT_BYTES} bytes'
            )
        for event_id in _EVENT_ID.findall(events):
            self._last_id = int(event_id)
        return events

    def drop_incomplete(self) -> None:
        """Drop the incomplete event that is buffered."""
        self._remainder.clear()
