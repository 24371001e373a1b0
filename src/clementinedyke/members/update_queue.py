"""Queue of updates that are each gossiped a limited number of times."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import msgspec

_Item = TypeVar('_Item', bound=msgspec.Struct)


class UpdateQueue(Generic[_Item]):
    """Newest update per key; the least often sent are sent first."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._items: dict[Hashable, tuple[_Item, int]] = {}
        self._send_counts: dict[Hashable, int] = {}

    def __len__(self) -> int:
        """Return the number of updates still to be sent."""
        return len(self._items)

    def add(self, key: Hashable, update: _Item) -> None:
        """Queue an update, replacing any with the same key.

        :param key: identifies the subject of the update.
        :param update: update to send.
        """
        size = len(msgspec.msgpack.encode(update))
        self._items[key] = (update, size)
        self._send_counts[key] = 0

    def take(self, budget: int, limit: int) -> tuple[_Item, ...]:
        """Select the updates for one message and count them as sent.

        :param budget: limit of the encoded size of the updates in bytes.
        :param limit: number of sends after which an update is dropped.
        """
        selected: list[_Item] = []
        for key in sorted(self._items, key=self._send_counts.__getitem__):
            update, size = self._items[key]
            if size > budget:
                break
            budget -= size
            selected.append(update)
            self._count_send(key, limit)
        return tuple(selected)

    def _count_send(self, key: Hashable, limit: int) -> None:
        self._send_counts[key] += 1
        if self._send_counts[key] >= limit:
            self._items.pop(key)
            self._send_counts.pop(key)
