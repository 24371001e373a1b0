"""Tests that joining chunks changes neither a body nor what is valid."""

from dataclasses import dataclass

import h11
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from clementinedyke.http.chunks import ChunkJoiner

_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
_MAX_LINE = 64
_NEXT = b'GET /next HTTP/1.1\r\n\r\n'
#: Valid and malformed parts of chunked bodies.
_PARTS = (
    b'1\r\nx\r\n',
    b'2\r\nyz\r\n',
    b'a\r\n0123456789\r\n',
    b'A;name=value\r\n0123456789\r\n',
    b'3 \t\r\nabc\r\n',
    b'0003\r\n\r\n\r\r\n',
    b'0\r\n',
    b'0;end\r\n',
    b'\r\n',
    b'\n',
    b'\r',
    b'X-Trailer: text\r\n',
    b'X-Trailer: text\n',
    b'bad trailer\r\n',
    b'-1\r\n',
    b'1\r\nxx',
    b'1\nx\n',
    b'5;a\nb\r\n',
    b'123456789012345678901\r\n',
    b'ffffffffffffffffffff\r\n',
    b';' * (_MAX_LINE + 9),
    b'X-Long: %b' % (b'x' * _MAX_LINE),
    b'g\r\n',
    b'',
)


@dataclass
class Parsed:
    """What a parser made of a body."""

    data: bytes = b''
    is_ended: bool = False
    error: int = 0


class Parser:
    """Feeds h11 with a body and records what it makes of it."""

    def __init__(self) -> None:
        """Create a parser that has read the head of a request."""
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_LINE
        )
        self._protocol.receive_data(_HEAD)
        assert isinstance(self._protocol.next_event(), h11.Request)
        self.parsed = Parsed()

    @property
    def is_open(self) -> bool:
        """Whether the body neither ended nor failed."""
        return not (self.parsed.is_ended or self.parsed.error)

    @property
    def rest(self) -> bytes:
        """Bytes behind the end of the body."""
        return self._protocol.trailing_data[0]

    def feed(self, received: bytes) -> None:
        """Parse further bytes of the body."""
        if received and self.is_open:
            self._protocol.receive_data(received)
            self._parse()

    def _parse(self) -> None:
        while self.is_open:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                self.parsed.error = error.error_status_hint
                return
            if event is h11.NEED_DATA:
                return
            self.parsed.is_ended = isinstance(event, h11.EndOfMessage)
            if isinstance(event, h11.Data):
                self.parsed.data += bytes(event.data)


def parse_joined(pieces: list[bytes], max_chunks: int) -> tuple[Parsed, bytes]:
    """Return what h11 makes of a body whose chunks are joined."""
    parser = Parser()
    joiner = ChunkJoiner(_MAX_LINE)
    rest = b''
    for piece in pieces:
        if joiner.has_ended:
            rest += piece
            continue
        joiner.add(piece)
        while not (joiner.needs_input or joiner.has_ended):
            parser.feed(joiner.take(max_chunks))
    return parser.parsed, joiner.rest + rest + parser.rest


def parse_plain(pieces: list[bytes]) -> tuple[Parsed, bytes]:
    """Return what h11 makes of a body as it is."""
    parser = Parser()
    rest = b''
    for piece in pieces:
        if parser.is_open:
            parser.feed(piece)
        else:
            rest += piece
    return parser.parsed, parser.rest + rest


def split(body: bytes, places: list[int]) -> list[bytes]:
    """Return a body in pieces that end at some places."""
    ends = sorted({place % (len(body) + 1) for place in places})
    starts = [0, *ends]
    return [
        body[start:end]
        for start, end in zip(starts, [*ends, len(body)], strict=True)
        if body[start:end]
    ]


class TestChunkJoiner:
    """Guards against bodies that are read otherwise than the parser does.

    A proxy in front that frames a body differently than this server could be
    used to smuggle a request.
    """

    @given(
        st.lists(st.sampled_from(_PARTS), max_size=9),
        st.lists(st.integers(0, 400), max_size=6),
        st.integers(1, 4),
    )
    @hypothesis_settings(max_examples=1500)
    def test_same_as_the_parser(
        self, parts: list[bytes], places: list[int], max_chunks: int
    ) -> None:
        """Data, end and validity are those of the original body."""
        pieces = split(b''.join(parts), places)
        joined, _ = parse_joined(pieces, max_chunks)
        assert joined == parse_plain(pieces)[0]

    @given(
        st.lists(st.binary(min_size=1, max_size=30), max_size=20),
        st.lists(st.integers(0, 900), max_size=9),
    )
    def test_next_request(self, chunks: list[bytes], places: list[int]) -> None:
        """A valid body ends where the next request begins."""
        body = b''.join(b'%x\r\n%b\r\n' % (len(it), it) for it in chunks)
        pieces = split(b'%b0\r\n\r\n%b' % (body, _NEXT), places)
        joined, rest = parse_joined(pieces, 2)
        assert joined == Parsed(b''.join(chunks), is_ended=True)
        assert rest == _NEXT

    def test_work_is_bounded(self) -> None:
        """A call joins no more chunks than asked for, into one."""
        joiner = ChunkJoiner(_MAX_LINE)
        joiner.add(b'1\r\nx\r\n' * 100)
        assert joiner.take(60) == b'3c\r\n%b\r\n' % (b'x' * 60)
        assert not joiner.needs_input
        assert joiner.take(60) == b'28\r\n%b\r\n' % (b'x' * 40)
        assert joiner.take(60) == b''
        assert joiner.needs_input
