"""Splits a stream of server-sent events at their ends."""

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)[ ]*\r?$', re.MULTILINE)


class EventSplitter:
    """Gives whole events only, so that a broken stream ends behind one.

    An engine that stops in the middle of an event leaves a part of it; the
    engine that goes on sends the event again from its start.
    """

    def __init__(self) -> None:
        """Create a splitter at the beginning of a stream."""
        self._rest = b''
        self._last_id: int | None = None

    @property
    def last_id(self) -> int | None:
        """Id of the last whole event, None before the first one."""
        return self._last_id

    def split_events(self, received: bytes) -> bytes:
        """Return the whole events among the bytes received so far.

        :param received: bytes as they arrived.
        """
        buffered = self._rest + received
        end = 0
        for found in _EVENT_END.finditer(buffered):
            end = found.end()
        events = buffered[:end]
        self._rest = buffered[end:]
        for event_id in _EVENT_ID.findall(events):
            self._last_id = int(event_id)
        return events

    def drain_remainder(self) -> bytes:
        """Return the bytes behind the last whole event, at the stream's end."""
        rest = self._rest
        self._rest = b''
        return rest
