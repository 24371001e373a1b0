"""Collects the answer of an endpoint instead of writing it to a caller."""

from clementinedyke.claims.messages import KeptAnswer
from clementinedyke.http.client import Headers
from clementinedyke.http.message import ResponseWriter

_DROPPED = frozenset((b'content-length', b'transfer-encoding'))
_OWN_PREFIX = b'clementinedyke-'


class AnswerCollector(ResponseWriter):
    """Response writer that keeps what is written to it."""

    def __init__(self) -> None:
        """Create a collector without an answer."""
        self._status = 0
        self._headers: Headers = ()
        self._parts: list[bytes] = []

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
        """Keep the status, the headers and the body's beginning.

        :param status: HTTP status code.
        :param headers: header names and values.
        :param body: first body bytes.
        :param is_complete: whether the response ends with this write.
        """
        self._status = status
        self._headers = headers
        self._parts.append(body)

    async def send_chunk(self, body: bytes) -> None:
        """Keep a part of the body.

        :param body: bytes of the body.
        """
        self._parts.append(body)

    async def end(self) -> None:
        """Finish the response; nothing is left to do."""

    def get_answer(self) -> KeptAnswer:
        """Return the whole answer without headers of one connection."""
        headers = tuple(
            (name.decode('latin-1'), content.decode('latin-1'))
            for name, content in self._headers
            if name.lower() not in _DROPPED
            and not name.lower().startswith(_OWN_PREFIX)
        )
        return KeptAnswer(self._status, headers, b''.join(self._parts))
