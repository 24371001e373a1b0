"""Local copy of the records table and the age of its confirmation."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import ConfigurationOptions
from clementinedyke.configuration.messages import ConfigurationRow


@dataclass(slots=True)
class RecordRows:
    """Newest row of each key.

    A deleted row is kept without a value, so that the deletion is passed on.
    """

    version: int = 0
    rows: dict[str, ConfigurationRow] = field(default_factory=dict)

    def apply(self, rows: Iterable[ConfigurationRow], upto: int) -> bool:
        """Store newer rows and return whether the version increased.

        :param rows: rows of any versions; older ones are ignored.
        :param upto: version up to which the rows are complete afterwards.
        """
        for row in rows:
            known = self.rows.get(row.key)
            if known is None or known.version < row.version:
                self.rows[row.key] = row
        is_higher = upto > self.version
        self.version = max(self.version, upto)
        return is_higher

    def list_missing(
        self, rows: Sequence[ConfigurationRow], revision: int
    ) -> list[ConfigurationRow]:
        """Return a deletion for each stored row that was deleted since.

        Rows newer than the revision are left out.

        :param rows: all rows of the table at the revision.
        :param revision: revision at which the table was read.
        """
        present = {row.key for row in rows}
        return [
            ConfigurationRow(row.key, revision)
            for row in self.rows.values()
            if row.value is not None
            and row.key not in present
            and row.version <= revision
        ]

    def select_chunk(
        self, since: int, limit: int
    ) -> tuple[list[ConfigurationRow], int]:
        """Return rows newer than a version, and the version they reach.

        The rows of a transaction share one version and are never split.

        :param since: version that the reader already has.
        :param limit: encoded size in bytes after which the chunk ends.
        """
        newer = [row for row in self.rows.values() if row.version > since]
        newer.sort(key=_get_version)
        chunk: list[ConfigurationRow] = []
        size = 0
        for row in newer:
            if size > limit and row.version != chunk[-1].version:
                return chunk, chunk[-1].version
            size += len(msgspec.msgpack.encode(row))
            chunk.append(row)
        return chunk, self.version


@dataclass(slots=True)
class Confirmation:
    """Last time at which the store confirmed that the rows are current.

    ``instant`` is None until the first confirmation.
    """

    revision: int = 0
    instant: Milliseconds | None = None

    def renew(self, revision: int, instant: Milliseconds) -> None:
        """Update the confirmation; older values are ignored.

        :param revision: revision of the store.
        :param instant: lower bound of the time of the confirmation, on the
            clock of the process.
        """
        self.revision = max(self.revision, revision)
        if self.instant is None or instant > self.instant:
            self.instant = instant


@dataclass(slots=True)
class PendingReads:
    """Pending polls of the store and fetches from peers, by start time.

    ``number`` is the last one used as key of both.
    """

    number: int = 0
    polls: dict[int, Milliseconds] = field(default_factory=dict)
    fetches: dict[int, Milliseconds] = field(default_factory=dict)

    def expire(self, options: ConfigurationOptions, now: Milliseconds) -> bool:
        """Drop timed out reads and return whether a poll was among them.

        :param options: timeouts.
        :param now: current time on the clock of the process.
        """
        polls = len(self.polls)
        self.polls = {
            number: began
            for number, began in self.polls.items()
            if now - began < options.poll_timeout
        }
        self.fetches = {
            number: began
            for number, began in self.fetches.items()
            if now - began < options.fetch_timeout
        }
        return len(self.polls) < polls


def _get_version(row: ConfigurationRow) -> int:
    return row.version
