"""Tests of streams of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from clementinedyke.entry.event_stream import EventSplitter

_EVENTS = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 6)
)


class TestEventSplitter:
    """Guards against joining parts of two runs in one event."""

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(cuts=st.lists(st.integers(1, 20), max_size=40))
    def test_any_cut(self, cuts: list[int]) -> None:
        """However the bytes arrive, only whole events come out, in order."""
        splitter = EventSplitter()
        taken = b''
        start = 0
        cuts.append(len(_EVENTS))
        for size in cuts:
            taken += splitter.split_events(_EVENTS[start : start + size])
            start += size
            assert not taken or taken.endswith(b'\n\n')
            assert _EVENTS.startswith(taken)
        assert taken == _EVENTS
        assert splitter.last_id == 5

    def test_broken_event(self) -> None:
        """The part of an event before a crash is dropped for the resume."""
        splitter = EventSplitter()
        splitter.split_events(b'id: 1\ndata: a\n\nid: 2\nda')
        assert splitter.last_id == 1
        splitter.drain_remainder()
        assert (
            splitter.split_events(b'id: 2\ndata: b\n\n')
            == b'id: 2\ndata: b\n\n'
        )
        assert splitter.last_id == 2

    def test_carriage_returns(self) -> None:
        """Events may end with either kind of line."""
        splitter = EventSplitter()
        event = b'id: 7\r\ndata: a\r\n\r\n'
        assert splitter.split_events(event) == event
        assert splitter.last_id == 7
