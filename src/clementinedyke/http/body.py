"""Bodies of requests and answers while they are in memory."""

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.exceptions import AnswerLostError, MemoryShortError
from clementinedyke.http.memory import ConnectionMemory, Holding, Kind
from clementinedyke.http.message import RequestError

#: Pieces of a body are joined up to this size, so that the number of objects
#: does not depend on the size of the pieces in which it arrives.
_BLOCK_BYTES = 65536
_MILLISECONDS_PER_SECOND = 1000


class BodyBuffer:
    """Collects a body in blocks and charges them as they arrive."""

    def __init__(self, holding: Holding, max_bytes: int) -> None:
        """Create a buffer without bytes.

        :param holding: holding of the body.
        :param max_bytes: largest size of the body.
        """
        self._holding = holding
        self._max_bytes = max_bytes
        self._blocks: list[bytes] = []
        self._last = bytearray()
        self._size = 0

    def append(self, received: bytes | bytearray) -> None:
        """Add bytes to the end.

        :param received: bytes of the body.
        :raises RequestError: if the body is too large.
        :raises MemoryShortError: if there is no memory for them.
        """
        self._size += len(received)
        if self._size > self._max_bytes:
            raise create_size_error(self._max_bytes)
        self._holding.resize(self._size, _get_now())
        self._last += received
        # Blocks of one size can be reused by the allocator.
        while len(self._last) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._last[:_BLOCK_BYTES]))
            del self._last[:_BLOCK_BYTES]

    def join(self) -> bytes:
        """Return the body; the buffer is empty afterwards."""
        self._blocks.append(bytes(self._last))
        body = b''.join(self._blocks)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop all bytes."""
        self._blocks.clear()
        self._last = bytearray()


class AnswerHolding:
    """Charges the connection of a caller with an answer that is buffered."""

    def __init__(self, memory: ConnectionMemory) -> None:
        """Create a holding without bytes.

        :param memory: memory of the connection of the caller.
        """
        self._holding = memory.open_holding(Kind.ANSWER)

    def record_size(self, size: int) -> None:
        """Change the number of bytes that are buffered.

        :param size: bytes that are in memory from now on.
        :raises AnswerLostError: if there is no memory for them.
        """
        try:
            self._holding.resize(size, _get_now())
        except MemoryShortError as error:
            raise AnswerLostError(str(error)) from error

    def close(self) -> None:
        """Give all bytes back."""
        self._holding.close()


def _get_now() -> Milliseconds:
    return int(trio.current_time() * _MILLISECONDS_PER_SECOND)


def create_size_error(max_bytes: int) -> RequestError:
    """Return the error for a body that is too large.

    :param max_bytes: largest size of a body.
    """
    return RequestError(
        ResultCode.BODY_TOO_LARGE, f'body is over {max_bytes} bytes'
    )
