"""Messages that carry the configuration between daemons."""

from typing import Any

import msgspec

from clementinedyke.clock import Milliseconds


class ControlMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of messages; encoded as an array that starts with its tag."""


class ListAdvert(msgspec.Struct, frozen=True, array_like=True):
    """Digest and age of the sender's copy of a platform list.

    The list was read between ``oldest`` and ``newest`` milliseconds ago.
    """

    digest: int
    oldest: Milliseconds
    newest: Milliseconds


class Advert(msgspec.Struct, frozen=True, array_like=True):
    """Configuration state of the sender.

    ``version`` is the highest row version applied, ``confirmed`` the revision
    of the store at the last confirmation and ``age`` the milliseconds since
    then, or None if there was none. ``lists`` has an entry per platform list.
    """

    version: int = 0
    confirmed: int = 0
    age: Milliseconds | None = None
    lists: tuple[ListAdvert | None, ...] = ()


class Hint(ControlMessage, frozen=True):
    """Announces the configuration version that the sender has."""

    version: int


class FetchChanges(ControlMessage, frozen=True):
    """Requests the rows written after version ``since``."""

    sequence: int
    since: int


class ConfigurationRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the records table; a value of None marks a deletion."""

    key: str
    version: int
    value: Any = None


class Changes(ControlMessage, frozen=True):
    """Answers with the rows of ``since`` < version <= ``upto``."""

    sequence: int
    since: int
    upto: int
    rows: tuple[ConfigurationRow, ...]
    advert: Advert


class FetchList(ControlMessage, frozen=True):
    """Requests a platform list by its index in the advert."""

    sequence: int
    place: int


class ListContent(ControlMessage, frozen=True):
    """Answers ``FetchList`` with a list as it was read from the platform."""

    sequence: int
    place: int
    content: bytes
    advert: ListAdvert
