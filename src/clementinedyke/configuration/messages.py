"""Messages that carry the configuration between daemons."""

from typing import Any

import msgspec

from clementinedyke.clock import Milliseconds


class ControlMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of the messages: arrays that begin with the name of the type."""


class ListAdvert(msgspec.Struct, frozen=True, array_like=True):
    """Which content of a platform list the sender has.

    The list was read between ``oldest`` and ``newest`` milliseconds ago.
    """

    digest: int
    oldest: Milliseconds
    newest: Milliseconds


class Advert(msgspec.Struct, frozen=True, array_like=True):
    """Configuration state of the sender.

    ``version`` is the highest row version applied, ``confirmed`` the revision
    of the store at the last confirmation and ``age`` the milliseconds since
    then, None without one. ``lists`` has an entry per platform list.
    """

    version: int = 0
    confirmed: int = 0
    age: Milliseconds | None = None
    lists: tuple[ListAdvert | None, ...] = ()


class Hint(ControlMessage, frozen=True):
    """Tells that the sender has a configuration version."""

    version: int


class FetchChanges(ControlMessage, frozen=True):
    """Asks for the rows written after a version."""

    sequence: int
    since: int


class ConfigurationRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the records table; value None is a deletion."""

    key: str
    version: int
    value: Any = None


class Changes(ControlMessage, frozen=True):
    """All rows with ``since`` < version <= ``upto``."""

    sequence: int
    since: int
    upto: int
    rows: tuple[ConfigurationRow, ...]
    advert: Advert


class FetchList(ControlMessage, frozen=True):
    """Asks for a platform list by its place in the advert."""

    sequence: int
    place: int


class ListContent(ControlMessage, frozen=True):
    """A platform list as it was read."""

    sequence: int
    place: int
    content: bytes
    advert: ListAdvert
