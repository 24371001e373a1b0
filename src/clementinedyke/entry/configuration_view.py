"""The configuration in force at this daemon and when it was last confirmed."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from result import Result

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import (
    EntryConfiguration,
    EntryCustomer,
    EntryRoute,
)
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.watch import StoredRow

Decoder = Callable[[bytes], Result[EntryConfiguration, str]]


@dataclass(frozen=True, slots=True)
class _Index:
    """Lookup tables of one version; routes by host, longest prefix first."""

    configuration: EntryConfiguration
    routes: Mapping[str, tuple[EntryRoute, ...]]
    customers: Mapping[str, EntryCustomer]
    services: frozenset[str]


class ConfigurationView:
    """Keeps the newest version seen so far and ignores older versions."""

    def __init__(self, key: str, decode: Decoder, journal: Journal) -> None:
        """Create a view without a configuration.

        :param key: key of the row that holds the configuration.
        :param decode: decodes the row's content; the error gives the reason.
        :param journal: log of state changes.
        """
        self._key = key
        self._decode = decode
        self._journal = journal
        self._index: _Index | None = None
        self._content = b''
        self._is_readable = True
        self._confirmed_at: Milliseconds | None = None
        #: Called when another version is in force.
        self.change_observers: list[Callable[[], None]] = []

    @property
    def configuration(self) -> EntryConfiguration | None:
        """Configuration in force, None before the first one."""
        return self._index.configuration if self._index else None

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first one."""
        return self._index.configuration.version if self._index else 0

    def get_services(self) -> Collection[str] | None:
        """Return the names of the services, None before the first version."""
        return self._index.services if self._index else None

    @property
    def content(self) -> bytes:
        """Raw content of the version in force, for other daemons."""
        return self._content

    @property
    def is_readable(self) -> bool:
        """Whether the last content that was seen could be decoded."""
        return self._is_readable

    @property
    def confirmed_at(self) -> Milliseconds | None:
        """Latest time at which no newer version existed, None if unknown."""
        return self._confirmed_at

    def get_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the time since the last confirmation, None if there is none.

        :param now: current instant.
        """
        return None if self._confirmed_at is None else now - self._confirmed_at

    def find_route(self, host: str, path: str) -> EntryRoute | None:
        """Return the route with the longest matching prefix, None if none.

        :param host: host name in lower case, without a port.
        :param path: path of the request.
        """
        routes = self._index.routes.get(host, ()) if self._index else ()
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key: str | None) -> EntryCustomer | None:
        """Return the customer that a key belongs to, None if unknown.

        :param key: API key sent by the caller, None if it sent none.
        """
        if self._index is None or key is None:
            return None
        return self._index.customers.get(key)

    def replace_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Apply a full read of the configuration table.

        :param rows: all rows of the table with their raw content.
        :param now: current instant.
        """
        self.apply_rows(rows, now)

    def apply_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Apply changed rows of the configuration table.

        :param rows: changed rows with their raw content.
        :param now: current instant.
        """
        for row in rows:
            if row.key == self._key and row.content is not None:
                self.apply_content(row.content, now)

    def apply_content(self, content: bytes, now: Milliseconds) -> None:
        """Put a version in force if it is newer than the current one.

        Content that can't be decoded is logged and ignored.

        :param content: raw content of the configuration's row.
        :param now: current instant.
        """
        if content == self._content:
            return
        decoded = self._decode(content)
        self._is_readable = decoded.is_ok()
        if decoded.is_err():
            self._journal.write(
                'configuration_unreadable',
                reason=decoded.unwrap_err(),
                kept_version=self.version,
            )
            return
        configuration = decoded.unwrap()
        if configuration.version <= self.version:
            return
        self._index = _compile_index(configuration)
        self._content = content
        self._journal.write(
            'configuration_in_force',
            version=configuration.version,
            routes=len(configuration.routes),
            unconfirmed_ms=self.get_age(now),
        )
        for observer in self.change_observers:
            observer()

    def confirm(self, as_of: Milliseconds, revision: int = 0) -> None:
        """Record that no newer version existed at a given time.

        :param as_of: time on the clock of this host.
        :param revision: unused, since configuration versions are numbered
            independently of the store's revisions.
        """
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def record_failure(self, now: Milliseconds) -> None:
        """Do nothing: the age of the last confirmation shows lost contact.

        :param now: current instant.
        """


def _compile_index(configuration: EntryConfiguration) -> _Index:
    routes: dict[str, list[EntryRoute]] = {}
    for route in configuration.routes:
        routes.setdefault(route.host, []).append(route)
    return _Index(
        configuration,
        {
            host: tuple(sorted(found, key=_get_prefix_length, reverse=True))
            for host, found in routes.items()
        },
        {
            key: customer
            for customer in configuration.customers or ()
            for key in customer.keys
        },
        frozenset(configuration.services),
    )


def _get_prefix_length(route: EntryRoute) -> int:
    return len(route.prefix)
