"""Rows of the records table and what is known about their age."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import ConfigurationOptions
from clementinedyke.configuration.messages import ConfigurationRow


@dataclass(slots=True)
class RecordRows:
    """Newest row of each key; deletions are kept as rows without a value."""

    version: int = 0
    rows: dict[str, ConfigurationRow] = field(default_factory=dict)

    def apply(self, rows: Iterable[ConfigurationRow], upto: int) -> bool:
        """Take over newer rows; return whether the version rose.

        :param rows: rows of any versions.
        :param upto: version up to which the rows are then complete.
        """
        for row in rows:
            known = self.rows.get(row.key)
            if known is None or known.version < row.version:
                self.rows[row.key] = row
        rises = upto > self.version
        self.version = max(self.version, upto)
        return rises

    def list_missing(
        self, rows: Sequence[ConfigurationRow], revision: int
    ) -> list[ConfigurationRow]:
        """Return deletions of the rows that a list of all rows lacks.

        :param rows: all rows that existed at the revision.
        :param revision: revision of the list.
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
        """Return rows after a version and the version they are complete to.

        A transaction is never split: its rows share one version.

        :param since: version that the reader has.
        :param limit: bytes after which the chunk ends.
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
    """Last time at which the store is known to have had just these rows."""

    revision: int = 0
    instant: Milliseconds | None = None

    def renew(self, revision: int, instant: Milliseconds) -> None:
        """Record that the store confirmed the records.

        :param revision: revision of the store.
        :param instant: instant no later than the confirmation.
        """
        self.revision = max(self.revision, revision)
        if self.instant is None or instant > self.instant:
            self.instant = instant


@dataclass(slots=True)
class PendingReads:
    """Open polls and fetches with the instants at which they began."""

    number: int = 0
    polls: dict[int, Milliseconds] = field(default_factory=dict)
    fetches: dict[int, Milliseconds] = field(default_factory=dict)

    def expire(self, options: ConfigurationOptions, now: Milliseconds) -> bool:
        """Drop what had no answer; return whether that was a poll.

        :param options: timeouts.
        :param now: current instant.
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
