"""Compact encoding of amounts that daemons publish to one another.

A topic holds at most 120 bytes, so names are published as digests. A receiver
resolves them with the names in its own records.
"""

import hashlib
import struct
from collections.abc import Iterable, Iterator, Mapping

#: With 6 bytes, a million names collide with a probability of 0.2%.
DIGEST_BYTES = 6
#: Maximum bytes of a topic's value; see ``MembershipOptions.payload_limit``.
VALUE_LIMIT = 120
_AMOUNT_BITS = 32
_AMOUNT_LIMIT = 1 << _AMOUNT_BITS


def compute_digest(*names: str) -> bytes:
    """Return the digest of a composite name.

    :param names: parts of the name, for example service and customer.
    """
    joined = '\0'.join(names).encode()
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()


class AmountCodec:
    """Encodes entries of one digest and a fixed number of 32-bit amounts."""

    def __init__(self, amounts: int) -> None:
        """Create a codec.

        :param amounts: number of amounts in each entry.
        """
        self._entry = struct.Struct(f'!{DIGEST_BYTES}s{amounts}I')

    @property
    def capacity(self) -> int:
        """Maximum number of entries in one value."""
        return VALUE_LIMIT // self._entry.size

    def encode(self, entries: Iterable[tuple[bytes, tuple[int, ...]]]) -> bytes:
        """Return the encoded entries; amounts are truncated modulo 2**32.

        :param entries: at most ``capacity`` entries.
        """
        return b''.join(
            self._entry.pack(
                digest, *(amount % _AMOUNT_LIMIT for amount in amounts)
            )
            for digest, amounts in entries
        )

    def decode(self, content: bytes) -> Iterator[tuple[bytes, tuple[int, ...]]]:
        """Yield the entries of a value; a malformed value has none.

        :param content: value that another daemon published.
        """
        if len(content) % self._entry.size:
            return
        for digest, *amounts in self._entry.iter_unpack(content):
            yield digest, tuple(amounts)


def select_largest(amounts: Mapping[str, float], count: int) -> tuple[str, ...]:
    """Return the names with the largest amounts, largest first.

    :param amounts: positive amounts by name.
    :param count: maximum number of names.
    """
    ranked = sorted(amounts.items(), key=_get_amount, reverse=True)
    return tuple(name for name, _ in ranked[:count])


def _get_amount(entry: tuple[str, float]) -> tuple[float, str]:
    return entry[1], entry[0]
