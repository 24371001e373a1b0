"""Datagrams in which daemons tell each other the versions of streams."""

from typing import cast

import msgspec

from clementinedyke.decoding import decode_msgpack

#: First byte of these datagrams, with which no MessagePack value begins; state
#: updates are MessagePack without a prefix.
MESSAGE_PREFIX = b'\xc1'


class StreamBegun(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Word to a keeper that a stream has begun.

    ``lifetime`` is the time in ms after which no caller takes it up again.
    """

    stream: int
    version: str
    lifetime: int


class VersionAsked(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Question which version began a stream of a service.

    ``lifetime`` is the time in ms in which the stream may have begun.
    """

    stream: int
    service: str
    lifetime: int


class VersionTold(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answer to :class:`VersionAsked`.

    ``version`` is None if the daemon does not know the stream. ``serving`` has
    all versions that the service had in the lifetime, and is empty if the
    daemon does not know all of them.
    """

    stream: int
    version: str | None
    serving: list[str]


StreamMessage = StreamBegun | VersionAsked | VersionTold


def encode_message(message: StreamMessage) -> bytes:
    """Return the datagram of a message.

    :param message: message to send.
    """
    return MESSAGE_PREFIX + msgspec.msgpack.encode(message)


def decode_message(datagram: bytes) -> StreamMessage:
    """Return the message in a datagram.

    :param datagram: bytes that begin with the prefix.
    :raises ProtocolError: if it is malformed.
    """
    return decode_msgpack(
        datagram.removeprefix(MESSAGE_PREFIX),
        cast('type[StreamMessage]', StreamMessage),
    )
