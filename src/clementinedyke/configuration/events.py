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
    #: Age of the confirmation at which every daemon polls for itself.
    poll_fallback_age: Milliseconds = 4000
    #: Longest mean wait between failed polls of a daemon that is no watcher:
    #: 310 daemons then make 80 reads/s of the platform's 2,000.
    backoff_limit: Milliseconds = 4000
    #: Reads of each platform list per ``poll_interval`` by all daemons.
    list_reads: int = 2
    #: Age of a list at which every daemon reads it for itself.
    list_fallback_age: Milliseconds = 8000
    key_max_age: Milliseconds = 8000
    watchers: int = 2
    #: Time without any peer after which a daemon counts as the only one.
    solo_timeout: Milliseconds = 3000
    fetch_timeout: Milliseconds = 2000
    chunk_bytes: int = 65536
    check_revision: bool = True
    check_age: bool = True
    fallback_poll: bool = True
    relay: bool = True


@dataclass(frozen=True, slots=True)
class MembersUpdated:
    """The living members and those among them that get hints."""

    living: Sequence[Member]
    neighbours: Sequence[Member]


@dataclass(frozen=True, slots=True)
class AdvertReceived:
    """A peer told its configuration state.

    ``asked_at`` is when this daemon sent the message that it answers, None
    if it answers none: its time on the way is then unknown.
    """

    address: str
    advert: Advert
    asked_at: Milliseconds | None = None


@dataclass(frozen=True, slots=True)
class PollAnswered:
    """The store answered a poll with the rows written after a version.

    ``is_whole`` marks a list of all rows instead, which has no deletions.
    """

    number: int
    revision: int
    rows: Sequence[ConfigurationRow]
    is_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class PollFailed:
    """A poll had no usable answer."""

    number: int


@dataclass(frozen=True, slots=True)
class Poll:
    """Read the rows written after a version from the store."""

    number: int
    since: int


@dataclass(frozen=True, slots=True)
class RecordsChanged:
    """Records of a higher version are in force."""

    version: int


@dataclass(frozen=True, slots=True)
class ListAnswered:
    """The platform answered the read of a list."""

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
