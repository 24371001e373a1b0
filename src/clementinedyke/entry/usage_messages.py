"""Datagrams in which daemons pass on usage and learn that it was written."""

from typing import cast

import msgspec

from clementinedyke.decoding import decode_msgpack

#: First byte of these datagrams. Like that of the feeds it begins an extension
#: type of MessagePack.
USAGE_PREFIX = b'\xc8'


class SharedPart(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one run of a daemon in a window.

    ``version`` is the version of its row as known to the sender, 0 if it has
    none. ``sequence`` is repeated in the message that the part was written.
    ``era`` is that of :class:`~clementinedyke.entry.usage_duty.UsagePart`.
    """

    window: int
    counts: dict[str, int]
    is_final: bool
    version: int
    sequence: int
    era: int | None = None


class UsageShares(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Parts that another daemon is to write."""

    host: str
    run_id: str
    parts: list[SharedPart]


class WrittenPart(msgspec.Struct, frozen=True, array_like=True):
    """A part that was written, and the version of its row."""

    window: int
    version: int
    sequence: int


class UsageWritten(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Parts of a run that are in the store."""

    run_id: str
    parts: list[WrittenPart]


UsageMessage = UsageShares | UsageWritten


def encode_usage(message: UsageMessage) -> bytes:
    """Return the datagram of a message.

    :param message: message to send.
    """
    return USAGE_PREFIX + msgspec.msgpack.encode(message)


def decode_usage(datagram: bytes) -> UsageMessage:
    """Return the message in a datagram.

    :param datagram: bytes that begin with the prefix.
    :raises ProtocolError: if it is malformed.
    """
    return decode_msgpack(
        datagram.removeprefix(USAGE_PREFIX),
        cast('type[UsageMessage]', UsageMessage),
    )
