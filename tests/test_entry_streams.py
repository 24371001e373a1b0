"""Tests of the parser of event streams."""

from hypothesis import given, settings
from hypothesis import strategies as st

from clementinedyke.entry.event_stream import EventSplitter

_EVENTS = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 6)
)


class TestEventSplitter:
    """Guards against events that mix the output of two runs."""

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(cuts=st.lists(st.integers(1, 20), max_size=40))
    def test_any_cut(self, cuts: list[int]) -> None:
        """Any split of the bytes gives complete events in order."""
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

    def test_partial_event_is_dropped(self) -> None:
        """A partial event left by a crash is dropped before a resume."""
        splitter = EventSplitter()
        splitter.split_events(b'id: 1\ndata: a\n\nid: 2\nda')
        assert splitter.last_id == 1
        splitter.drop_incomplete()
        assert (
            splitter.split_events(b'id: 2\ndata: b\n\n')
            == b'id: 2\ndata: b\n\n'
        )
        assert splitter.last_id == 2

    def test_crlf_line_endings(self) -> None:
        """Events may end with CRLF line endings."""
        splitter = EventSplitter()
        event = b'id: 7\r\ndata: a\r\n\r\n'
        assert splitter.split_events(event) == event
        assert splitter.last_id == 7
