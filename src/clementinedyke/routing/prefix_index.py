"""Index of the prompt blocks that engines are expected to have cached."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence

#: Tokens per cache block of an engine.
BLOCK_TOKENS = 1000
#: Bytes of prompt text per block: a token is about 4 bytes of text.
BLOCK_BYTES = 4 * BLOCK_TOKENS
_HASH_BYTES = 8


def compute_block_hashes(prompt: bytes, salt: bytes = b'') -> tuple[int, ...]:
    """Return chained hashes of the complete blocks of a prompt.

    Each hash covers its block and all blocks before it, so equal hashes mean
    equal prefixes. An incomplete last block has no hash.

    :param prompt: encoded prompt text.
    :param salt: model and customer; keeps customers from sharing cache entries.
    """
    hashes = []
    parent = salt
    for end in range(BLOCK_BYTES, len(prompt) + 1, BLOCK_BYTES):
        block = prompt[end - BLOCK_BYTES : end]
        digest = hashlib.blake2b(parent, digest_size=_HASH_BYTES)
        digest.update(block)
        parent = digest.digest()
        hashes.append(int.from_bytes(parent, 'big'))
    return tuple(hashes)


class PrefixIndex:
    """Maps block hashes to the endpoints that cache them.

    Each block stores its endpoints as a bit mask, so that the cost of a lookup
    does not depend on the number of endpoints. When the index is full, the
    least recently added block is evicted.
    """

    def __init__(self, max_blocks: int) -> None:
        """Create an empty index.

        :param max_blocks: maximum number of distinct blocks.
        """
        self._max_blocks = max_blocks
        self._masks: OrderedDict[int, int] = OrderedDict()
        self._bits: dict[str, int] = {}
        self._free_bits: list[int] = []

    def __len__(self) -> int:
        """Return the number of distinct blocks."""
        return len(self._masks)

    def add(self, endpoint_id: str, hashes: Iterable[int]) -> None:
        """Record that an endpoint has cached blocks.

        :param endpoint_id: endpoint that cached the blocks.
        :param hashes: block hashes.
        """
        bit = self._get_bit(endpoint_id)
        masks = self._masks
        for block in hashes:
            masks[block] = masks.get(block, 0) | bit
            masks.move_to_end(block)
        while len(masks) > self._max_blocks:
            masks.popitem(last=False)

    def remove(self, endpoint_id: str, hashes: Iterable[int]) -> None:
        """Record that an endpoint evicted blocks.

        :param endpoint_id: endpoint that evicted the blocks.
        :param hashes: block hashes.
        """
        bit = self._get_bit(endpoint_id)
        for block in hashes:
            mask = self._masks.get(block, 0) & ~bit
            if mask:
                self._masks[block] = mask
            else:
                self._masks.pop(block, None)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint from all blocks.

        :param endpoint_id: endpoint that restarted, left or whose cache events
            were lost.
        """
        bit = self._bits.pop(endpoint_id, 0)
        if not bit:
            return
        for block, mask in list(self._masks.items()):
            if mask == bit:
                self._masks.pop(block)
            elif mask & bit:
                self._masks[block] = mask & ~bit
        self._free_bits.append(bit)

    def get_hits(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks that each endpoint has cached.

        Endpoints that lack the first block are omitted.

        :param hashes: block hashes of a prompt, in order.
        """
        depths: list[int] = []
        mask = -1
        for block in hashes:
            mask &= self._masks.get(block, 0)
            if not mask:
                break
            depths.append(mask)
        if not depths:
            return {}
        return {
            endpoint_id: sum(1 for held in depths if held & bit)
            for endpoint_id, bit in self._bits.items()
            if depths[0] & bit
        }

    def _get_bit(self, endpoint_id: str) -> int:
        bit = self._bits.get(endpoint_id)
        if bit is None:
            bit = (
                self._free_bits.pop()
                if self._free_bits
                else 1 << len(self._bits)
            )
            self._bits[endpoint_id] = bit
        return bit


class CacheView:
    """Keeps a prefix index up to date with the cache events of endpoints."""

    def __init__(self, max_blocks: int) -> None:
        """Create a view without endpoints.

        :param max_blocks: maximum number of distinct blocks.
        """
        self.index = PrefixIndex(max_blocks)
        self._sequences: dict[str, int] = {}

    def apply(
        self,
        endpoint_id: str,
        sequence: int,
        added: Iterable[int],
        removed: Iterable[int],
    ) -> None:
        """Apply a cache event unless its sequence number is out of date.

        :param endpoint_id: endpoint that published the event.
        :param sequence: sequence number, increases by one per event.
        :param added: hashes of the blocks that the endpoint cached.
        :param removed: hashes of the blocks that it evicted.
        """
        last = self._sequences.get(endpoint_id)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence != last + 1:
            # Any block may have been evicted in a lost event.
            self.index.remove_endpoint(endpoint_id)
        self._sequences[endpoint_id] = sequence
        self.index.remove(endpoint_id, removed)
        self.index.add(endpoint_id, added)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove the blocks and the sequence number of an endpoint.

        :param endpoint_id: endpoint that left, or restarted with an empty
            cache.
        """
        self._sequences.pop(endpoint_id, None)
        self.index.remove_endpoint(endpoint_id)
