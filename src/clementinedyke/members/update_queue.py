"""Queue of changes that are passed on a limited number of times."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import msgspec

_Item = TypeVar('_Item', bound=msgspec.Struct)


class UpdateQueue(Generic[_Item]):
    """Newest item per key, least often sent first, within a byte budget."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._items: dict[Hashable, tuple[_Item, int]] = {}
        self._sent: dict[Hashable, int] = {}

    def __len__(self) -> int:
        """Return the number of items still to be passed on."""
        return len(self._items)

    def add(self, key: Hashable, rumor: _Item) -> None:
        """Queue an item and replace an older one with the same key.

        :param key: identity of what the item is about.
        :param rumor: item to be passed on.
        """
        size = len(msgspec.msgpack.encode(rumor))
        self._items[key] = (rumor, size)
        self._sent[key] = 0

    def take(self, budget: int, limit: int) -> tuple[_Item, ...]:
        """Return the items for one message.

        :param budget: bytes of encoded items.
        :param limit: times that an item is sent before it is dropped.
        """
        chosen: list[_Item] = []
        for key in sorted(self._items, key=self._sent.__getitem__):
            rumor, size = self._items[key]
            if size > budget:
                break
            budget -= size
            chosen.append(rumor)
            self._count(key, limit)
        return tuple(chosen)

    def _count(self, key: Hashable, limit: int) -> None:
        self._sent[key] += 1
        if self._sent[key] >= limit:
            self._items.pop(key)
            self._sent.pop(key)
