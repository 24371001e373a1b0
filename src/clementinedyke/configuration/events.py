"""Options, events and actions of the configuration cores."""

from collections.abc import Sequence
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.messages import Advert, ConfigurationRow
from clementinedyke.control.messages import Member


@dataclass(frozen=True, slots=True)
class ConfigurationOptions:
    """Intervals in milliseconds, and switches that only tests turn off."""

    poll_interval: Milliseconds = 1000
    poll_timeout: Milliseconds = 2000
    #: Confirmation age from which a daemon polls even if it is no watcher.
    poll_fallback_age: Milliseconds = 4000
    #: Maximum mean wait between failed polls of a daemon that is no watcher:
    #: 310 daemons then make 80 of the 2,000 reads/s that the platform allows.
    backoff_limit: Milliseconds = 4000
    #: Reads of each platform list per ``poll_interval``, by all daemons
    #: together.
    list_reads: int = 2
    #: List age from which a daemon reads it regardless of the shared rate.
    list_fallback_age: Milliseconds = 8000
    #: Confirmation age above which keyed requests are refused.
    key_max_age: Milliseconds = 8000
    #: Daemons that poll the store, per availability zone.
    watchers: int = 2
    #: Time without any peer after which a daemon counts as the only one.
    solo_timeout: Milliseconds = 3000
    fetch_timeout: Milliseconds = 2000
    #: Size from which a ``Changes`` message is ended.
    chunk_bytes: int = 65536
    check_revision: bool = True
    check_age: bool = True
    fallback_poll: bool = True
    relay: bool = True


@dataclass(frozen=True, slots=True)
class MembersUpdated:
    """The living members, and the neighbours that are sent hints."""

    living: Sequence[Member]
    neighbours: Sequence[Member]


@dataclass(frozen=True, slots=True)
class AdvertReceived:
    """A peer advertised its configuration state.

    ``asked_at`` is the time at which this daemon sent the request that the
    advert answers. It is None for an unsolicited advert, whose time in transit
    is unknown.
    """

    address: str
    advert: Advert
    asked_at: Milliseconds | None = None


@dataclass(frozen=True, slots=True)
class PollAnswered:
    """The store answered a poll with the rows written after a version.

    With ``is_snapshot``, ``rows`` holds all existing rows instead, and
    deletions have to be derived from the rows that are missing.
    """

    number: int
    revision: int
    rows: Sequence[ConfigurationRow]
    is_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class PollFailed:
    """A poll failed or its answer was unusable."""

    number: int


@dataclass(frozen=True, slots=True)
class Poll:
    """Read the rows written after version ``since`` from the store."""

    number: int
    since: int


@dataclass(frozen=True, slots=True)
class RecordsChanged:
    """Records of a higher version were applied."""

    version: int


@dataclass(frozen=True, slots=True)
class ListAnswered:
    """The platform answered the read of a list.

    ``place`` is the index of the list in an advert.
    """

    place: int
    content: bytes
    asked_at: Milliseconds


@dataclass(frozen=True, slots=True)
class ReadList:
    """Read a list from the platform."""

    place: int


@dataclass(frozen=True, slots=True)
class ListChanged:
    """A platform list has new content."""

    place: int
    content: bytes
