"""Decodes what peers have sent, with one exception for all that is malformed.

msgspec alone lets further exceptions through: RecursionError for deeply nested
values, also in fields that nobody reads, and ValueError for numbers with
thousands of digits or bytes that are not UTF-8.
"""

from typing import Any, TypeVar

import msgspec

from clementinedyke.exceptions import ProtocolError

_Expected = TypeVar('_Expected')
_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)


def decode_json(content: bytes, expected: type[_Expected]) -> _Expected:
    """Return the value of a JSON document.

    :param content: bytes as received.
    :param expected: type of the value.
    :raises ProtocolError: if the content is no document of this type.
    """
    try:
        return msgspec.json.decode(content, type=expected)
    except _ERRORS as error:
        raise _create_error(error) from error


def decode_msgpack(content: bytes, expected: type[_Expected]) -> _Expected:
    """Return the value of a MessagePack document.

    :param content: bytes as received.
    :param expected: type of the value.
    :raises ProtocolError: if the content is no document of this type.
    """
    try:
        return msgspec.msgpack.decode(content, type=expected)
    except _ERRORS as error:
        raise _create_error(error) from error


def apply_decoder(
    decoder: msgspec.msgpack.Decoder[_Expected], content: bytes
) -> _Expected:
    """Return the value of a MessagePack document.

    :param decoder: decoder that is kept, since types that are unions of
        messages take long to prepare.
    :param content: bytes as received.
    :raises ProtocolError: if the decoder does not accept the content.
    """
    try:
        return decoder.decode(content)
    except _ERRORS as error:
        raise _create_error(error) from error


def convert_document(document: Any, expected: type[_Expected]) -> _Expected:
    """Return a decoded document as a value of a type.

    :param document: lists, dictionaries, texts and numbers.
    :param expected: type of the value.
    :raises ProtocolError: if the document is not of this type.
    """
    try:
        return msgspec.convert(document, expected)
    except _ERRORS as error:
        raise _create_error(error) from error


def _create_error(error: Exception) -> ProtocolError:
    return ProtocolError(f'{type(error).__name__}: {error}')
