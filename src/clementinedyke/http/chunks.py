"""Joins the small chunks of a chunked body before it is parsed.

The parser spends about 20 us on each chunk, whatever its size. A body of 4 MiB
in chunks of two bytes kept a process busy for 40 s.
"""

import enum
import re

#: Line before the data of a chunk, as the parser reads it (RFC 9112, 7.1).
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,20})(?:;.*)?[ \t]*\r\n')
_LINE_END = b'\r\n'
#: End of the trailers, as the parser reads it.
_TRAILERS_END = re.compile(rb'\A\r?\n|\n\r?\n')
_HEXADECIMAL = 16


class _State(enum.Enum):
    LINE = enum.auto()
    DATA = enum.auto()
    LINE_END = enum.auto()
    TRAILERS = enum.auto()
    #: The input is malformed: the parser gets the rest as it is.
    MALFORMED = enum.auto()
    ENDED = enum.auto()


class ChunkJoiner:
    """Rewrites a chunked body so that it has few chunks.

    The data and their validity stay the same: input that is no valid chunk is
    passed on unchanged, at a place where the parser expects the same as in the
    original body.
    """

    def __init__(self, max_line_bytes: int) -> None:
        """Create a joiner at the start of a body.

        :param max_line_bytes: size of an incomplete line or trailer above
            which it is passed on, so that the parser rejects it.
        """
        self._max_line_bytes = max_line_bytes
        self._input = b''
        self._position = 0
        #: Bytes of the current chunk that have not been joined.
        self._left = 0
        self._state = _State.LINE
        self._needs_input = True
        #: Whether the parser still expects the line end of a chunk.
        self._owes_line_end = False

    @property
    def needs_input(self) -> bool:
        """Whether nothing can be passed on without further input."""
        return self._needs_input

    @property
    def has_ended(self) -> bool:
        """Whether all of the body has been passed on."""
        return self._state is _State.ENDED

    @property
    def rest(self) -> bytes:
        """Input that has not been passed on."""
        return self._input[self._position :]

    def add(self, received: bytes) -> None:
        """Add bytes that follow the input so far.

        :param received: bytes as the caller sent them.
        """
        self._input = self.rest + received
        self._position = 0
        self._needs_input = False

    def take(self, max_chunks: int) -> bytes:
        """Return bytes for the parser; empty if more input is needed.

        :param max_chunks: most chunks to join, which bounds the time that the
            call takes.
        """
        if self._state is _State.TRAILERS:
            return self._take_trailers()
        if self._state is _State.MALFORMED:
            return self._take_rest()
        prefix = self._take_owed_line_end()
        data = bytearray()
        if not self._owes_line_end:
            for _ in range(max_chunks):
                if not self._join_chunk(data):
                    break
        return prefix + self._compile_chunk(data)

    def _take_owed_line_end(self) -> bytes:
        """Return the line end that the parser expects, once it is here."""
        if not self._owes_line_end or not self._skip_line_end():
            return b''
        self._owes_line_end = False
        return _LINE_END

    def _join_chunk(self, data: bytearray) -> bool:
        """Append the next chunk to ``data``; return False to stop there."""
        if self._state is _State.LINE and not self._read_line():
            return False
        if self._state is _State.DATA and not self._read_data(data):
            return False
        return self._skip_line_end()

    def _read_line(self) -> bool:
        found = _CHUNK_LINE.match(self._input, self._position)
        if found is None:
            self._stop_at_line()
            return False
        self._left = int(found.group(1), _HEXADECIMAL)
        if not self._left:
            self._state = _State.TRAILERS
            return False
        self._position = found.end()
        self._state = _State.DATA
        return True

    def _stop_at_line(self) -> None:
        size = len(self._input) - self._position
        is_whole = self._input.find(_LINE_END, self._position) >= 0
        if is_whole or size > self._max_line_bytes:
            self._state = _State.MALFORMED
        else:
            self._needs_input = True

    def _read_data(self, data: bytearray) -> bool:
        end = self._position + self._left
        part = self._input[self._position : end]
        data += part
        self._position += len(part)
        self._left -= len(part)
        if self._left:
            self._needs_input = True
            return False
        self._state = _State.LINE_END
        return True

    def _skip_line_end(self) -> bool:
        end = self._position + len(_LINE_END)
        found = self._input[self._position : end]
        if found == _LINE_END:
            self._position = end
            self._state = _State.LINE
            return True
        if _LINE_END.startswith(found):
            self._needs_input = True
        else:
            self._owes_line_end = True
            self._state = _State.MALFORMED
        return False

    def _compile_chunk(self, data: bytearray) -> bytes:
        """Return a chunk, which stays open if its line end is not known."""
        if not data:
            return b''
        if self._state is _State.LINE_END:
            self._owes_line_end = True
        end = b'' if self._owes_line_end else _LINE_END
        return b'%x\r\n%b%b' % (len(data), bytes(data), end)

    def _take_trailers(self) -> bytes:
        """Return the last chunk and the trailers once they are whole."""
        start = self._input.index(_LINE_END, self._position) + len(_LINE_END)
        found = _TRAILERS_END.search(self._input[start:])
        if found is None:
            if len(self._input) - start > self._max_line_bytes:
                self._state = _State.MALFORMED
                return self._take_rest()
            self._needs_input = True
            return b''
        end = start + found.end()
        taken = self._input[self._position : end]
        self._position = end
        self._state = _State.ENDED
        return taken

    def _take_rest(self) -> bytes:
        taken = self.rest
        self._position = len(self._input)
        self._needs_input = True
        return taken
