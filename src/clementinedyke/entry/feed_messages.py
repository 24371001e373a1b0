"""Datagrams in which readers of the store pass its changes on."""

import zlib

import msgspec

from clementinedyke.decoding import decode_msgpack
from clementinedyke.exceptions import ProtocolError

#: First byte of these datagrams. It begins an extension type of MessagePack, as
#: no other datagram between daemons does.
FEED_PREFIX = b'\xc7'
#: Byte after the prefix that tells whether the rest is compressed.
_PLAIN = b'\x00'
_COMPRESSED = b'\x01'
#: Messages with more bytes are compressed; those without rows are smaller.
_MIN_COMPRESSED = 600
_COMPRESSION_LEVEL = 1
#: Largest message after decompression. A configuration of 1400 routes has
#: about 300 KB.
_MAX_MESSAGE_BYTES = 8388608


class NewsRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the store; content None marks a deleted row."""

    key: str
    version: int
    content: bytes | None


class TableNews(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a table that changed between two revisions of the store.

    ``rows`` are all changes after the revision ``after`` up to ``revision``.
    ``age`` is the time in ms since the store confirmed that revision.
    """

    table: str
    after: int
    revision: int
    age: int
    rows: list[NewsRow] = []


class FeedNews(msgspec.Struct, frozen=True, array_like=True):
    """What a reader knows of the store.

    ``is_reader`` is false in the last message of a daemon that stops reading
    for others. ``store_age`` is the time in ms since the store answered it, and
    ``failure_age`` since a call of a feed failed; -1 if never.
    """

    host: str
    zone: str
    is_reader: bool
    tables: list[TableNews]
    store_age: int = -1
    failure_age: int = -1


def encode_news(news: FeedNews) -> bytes:
    """Return the datagram of a message.

    :param news: message to send.
    """
    payload = msgspec.msgpack.encode(news)
    if len(payload) <= _MIN_COMPRESSED:
        return FEED_PREFIX + _PLAIN + payload
    packed = zlib.compress(payload, _COMPRESSION_LEVEL)
    return FEED_PREFIX + _COMPRESSED + packed


def decode_news(datagram: bytes) -> FeedNews:
    """Return the message in a datagram.

    :param datagram: bytes that begin with the prefix.
    :raises ProtocolError: if it is malformed.
    """
    kind = datagram[1:2]
    payload = datagram[2:]
    if kind == _COMPRESSED:
        try:
            payload = zlib.decompressobj().decompress(
                payload, _MAX_MESSAGE_BYTES
            )
        except zlib.error as error:
            raise ProtocolError(f'feed news: {error}') from error
    elif kind != _PLAIN:
        raise ProtocolError(f'feed news of unknown kind {kind!r}')
    return decode_msgpack(payload, FeedNews)
