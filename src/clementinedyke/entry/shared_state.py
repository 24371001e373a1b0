"""Copies of the store's state that daemons fetch from one another."""

import zlib

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.decoding import decode_msgpack
from clementinedyke.entry.feed_messages import NewsRow, TableNews
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import (
    MAX_BODY_BYTES,
    Address,
    BodyLimits,
    Headers,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.http.message import ServerRequest

STATE_PATH = '/state'
_TIMEOUT: Milliseconds = 500
#: A copy takes a part of the link at both ends.
_BODY_LIMITS = BodyLimits(idle_timeout=_TIMEOUT, total_timeout=6 * _TIMEOUT)
#: Encoding of copies. A large configuration shrinks to a tenth.
_DEFLATE = b'deflate'
_COMPRESSION_LEVEL = 1


class SharedRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of the endpoints' table."""

    key: str
    version: int
    content: bytes


class SharedState(msgspec.Struct, frozen=True, array_like=True):
    """Copy of the store's state that a daemon sends to another one.

    ``configuration`` and the rows' content are as stored.
    ``configuration_age`` is in ms, -1 if it was never confirmed.
    ``endpoints_revision`` is the revision up to which the endpoints are known.
    ``configuration_revision`` is that of the configuration's table, and
    ``configuration_changed`` that of its last change; 0 if they are not known.
    """

    configuration: bytes
    configuration_age: int
    endpoints: list[SharedRow]
    endpoints_revision: int
    configuration_revision: int = 0
    configuration_changed: int = 0

    def compile_news(
        self, table: str, key: str, elapsed: Milliseconds
    ) -> TableNews | None:
        """Return the configuration as news of its table, None without one.

        :param table: table of the configuration.
        :param key: key of its row; other rows of the table mean nothing.
        :param elapsed: time in ms since the copy was asked for.
        """
        if not (self.configuration and self.configuration_changed):
            return None
        row = NewsRow(key, self.configuration_changed, self.configuration)
        age = max(0, self.configuration_age) + elapsed
        return TableNews(table, 0, self.configuration_revision, age, [row])


def encode_state(
    state: SharedState, request: ServerRequest
) -> tuple[Headers, bytes]:
    """Return the headers and the body of an answer with a copy.

    :param state: copy to send.
    :param request: question of the other daemon; builds before this one take
        plain copies only.
    """
    payload = msgspec.msgpack.encode(state)
    if request.get_header(b'accept-encoding') != _DEFLATE.decode():
        return [], payload
    packed = zlib.compress(payload, _COMPRESSION_LEVEL)
    return [(b'Content-Encoding', _DEFLATE)], packed


def decode_state(answer: HttpResponse) -> SharedState:
    """Return the copy in the answer of a daemon.

    :param answer: answer with a copy.
    :raises ProtocolError: if it is malformed.
    """
    content = answer.body
    if dict(answer.headers).get(b'content-encoding') == _DEFLATE:
        try:
            content = zlib.decompressobj().decompress(content, MAX_BODY_BYTES)
        except zlib.error as error:
            raise ProtocolError(f'state of a daemon: {error}') from error
    return decode_msgpack(content, SharedState)


async def request_state(address: Address) -> HttpResponse:
    """Ask a daemon for a copy of its state.

    :param address: address of the daemon.
    :raises ClementinedykeError: if there is no answer.
    """
    request = HttpRequest('GET', STATE_PATH, [(b'Accept-Encoding', _DEFLATE)])
    async with HttpClient(address, connect_timeout=_TIMEOUT) as client:
        return await client.request(request, _TIMEOUT, _BODY_LIMITS)
