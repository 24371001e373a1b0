"""Collects the response of an endpoint in memory."""

from collections.abc import Callable

from clementinedyke.claims.messages import StoredAnswer
from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import MAX_BODY_BYTES, Headers
from clementinedyke.http.message import ResponseWriter

_EXCLUDED_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
_DAEMON_HEADER_PREFIX = b'clementinedyke-'


class ResponseCollector(ResponseWriter):
    """Response writer that stores the response instead of sending it."""

    def __init__(self, record_size: Callable[[int], object] = bool) -> None:
        """Create an empty collector.

        :param record_size: called with the number of bytes stored so far; may
            raise :class:`AnswerLostError`.
        """
        self._record_size = record_size
        self._status = 0
        self._headers: Headers = ()
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def is_started(self) -> bool:
        """Whether a response head was written."""
        return self._status != 0

    async def send_head(
        self,
        status: int,
        headers: Headers,
        body: bytes = b'',
        *,
        is_complete: bool = False,
    ) -> None:
        """Store the status, the headers and the first part of the body.

        :param status: HTTP status code.
        :param headers: header names and values.
        :param body: first bytes of the body.
        :param is_whole: whether the response ends with this write.
        """
        self._status = status
        self._headers = headers
        await self.send_chunk(body)

    async def send_chunk(self, body: bytes) -> None:
        """Store the next part of the body.

        :param body: bytes to append.
        :raises AnswerLostError: if the body is too large to be kept, or if
            there is no memory for it.
        """
        self._size += len(body)
        if self._size > MAX_BODY_BYTES:
            raise AnswerLostError(f'body of more than {MAX_BODY_BYTES} bytes')
        self._record_size(self._size)
        self._parts.append(body)

    async def end(self) -> None:
        """Do nothing, since the collector has no connection to flush."""

    def get_answer(self) -> StoredAnswer:
        """Return the complete response.

        Framing headers and headers set by the daemon are left out, because
        they are set for each caller separately.
        """
        headers = tuple(
            (name.decode('latin-1'), content.decode('latin-1'))
            for name, content in self._headers
            if name.lower() not in _EXCLUDED_HEADERS
            and not name.lower().startswith(_DAEMON_HEADER_PREFIX)
        )
        return StoredAnswer(self._status, headers, b''.join(self._parts))
