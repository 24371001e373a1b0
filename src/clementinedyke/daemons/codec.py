"""Encoding of control messages and their size limit."""

import struct
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from clementinedyke.control.messages import Message
from clementinedyke.exceptions import ProtocolError

#: A chunk of records has 64 KiB, and the list of 600 endpoints about 80 KB.
MAX_MESSAGE_BYTES = 1_048_576
_PREFIX = struct.Struct('>?I')
_DECODER = msgspec.msgpack.Decoder(Message)


class ControlCodec(CodecBase):
    """Encodes messages as MessagePack arrays with the name of their type."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message.

        :param message: message to encode.
        :param message_type: ignored, the message names its type.
        """
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of received bytes.

        :param data: encoded message.
        :param message_type: ignored, the message names its type.
        :raises ProtocolError: if the bytes are not a known message.
        """
        try:
            return _DECODER.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(f'control message: {error}') from error


async def receive_message(stream: Any, codec: ControlCodec) -> Any:
    """Return the next message of a stream, None at its end.

    grpclib's own ``recv_message`` buffers whatever length the peer announces,
    so the frame is read here.

    :param stream: grpclib stream of either side.
    :param codec: codec of the messages.
    :raises ProtocolError: if the message is too long or malformed.
    """
    wire = stream._stream  # noqa: WPS437 no public way to bound the length
    prefix = await wire.recv_data(_PREFIX.size)
    if not prefix:
        return None
    is_compressed, length = _PREFIX.unpack(prefix)
    if is_compressed or length > MAX_MESSAGE_BYTES:
        raise ProtocolError(f'control message of {length} bytes is refused')
    return codec.decode(await wire.recv_data(length), None)
