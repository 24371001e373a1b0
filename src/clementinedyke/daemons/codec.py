"""MessagePack codec of control messages, with a message size limit."""

import struct
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from clementinedyke.control.messages import Message
from clementinedyke.decoding import apply_decoder
from clementinedyke.exceptions import ProtocolError

#: Largest accepted message. The largest regular ones are a chunk of records
#: (64 KiB) and the list of 600 endpoints (about 80 KB).
MAX_MESSAGE_BYTES = 1_048_576
#: gRPC frame prefix: compressed flag and message length in bytes.
_PREFIX = struct.Struct('>?I')
_DECODER = msgspec.msgpack.Decoder(Message)


class ControlCodec(CodecBase):
    """Encodes messages as MessagePack arrays tagged with their type name."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message.

        :param message: message to encode.
        :param message_type: ignored; the tag of the message names its type.
        """
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message.

        :param data: encoded message.
        :param message_type: ignored; the tag of the message names its type.
        :raises ProtocolError: if the bytes are not a known message type.
        """
        return apply_decoder(_DECODER, data)


async def receive_message(stream: Any, codec: ControlCodec) -> Any:
    """Return the next message of a stream, None at the end of the stream.

    grpclib's own ``recv_message`` buffers messages of any announced length, so
    the frame is read here, with a limit on the length.

    :param stream: grpclib stream of a client or a server.
    :param codec: codec of the messages.
    :raises ProtocolError: if the message is compressed, too long or malformed.
    """
    wire = stream._stream  # noqa: WPS437 no public API limits the length
    prefix = await wire.recv_data(_PREFIX.size)
    if not prefix:
        return None
    is_compressed, length = _PREFIX.unpack(prefix)
    if is_compressed or length > MAX_MESSAGE_BYTES:
        raise ProtocolError(
            f'control message of {length} bytes is compressed or too long'
        )
    return codec.decode(await wire.recv_data(length), None)
