"""Digests that identify a request when its caller sends it again."""

import hashlib
from collections.abc import Sequence

_DIGEST_BYTES = 16


def compute_fingerprint(labels: Sequence[str], body: bytes) -> str:
    """Return the digest of a request, which is the same for its repetitions.

    :param labels: customer and target of the request, in a fixed order.
    :param body: body as received.
    :return: 32 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update('\0'.join((*labels, '')).encode())
    digest.update(body)
    return digest.hexdigest()
