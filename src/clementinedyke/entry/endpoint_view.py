"""View of the endpoints, decoded from their entries in the store."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from result import Result

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.continuity import Continuity
from clementinedyke.entry.departures import Departures
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import StoredRow
from clementinedyke.http.client import Address

Decoder = Callable[[str, bytes], Result[EntryEndpoint, str]]

#: Time after a failed store call in which a missing entry may have expired only
#: because the store was unavailable, while its endpoint still runs. Such an
#: entry is back within about 2 s of the store's recovery.
_EXPIRY_WINDOW: Milliseconds = 4000
#: Time before the end of the drain delay at which an endpoint with an expired
#: entry is dropped, so that requests being sent still arrive within the delay.
_HOLD_MARGIN: Milliseconds = 300


class EndpointView:
    """Endpoints known from the store, leaving ones included.

    An endpoint whose entry disappears shortly after the store failed for all
    daemons is kept for a limited time, because it may still be running. An
    endpoint that says in an answer that it leaves counts as leaving, also while
    its entry says otherwise.
    """

    def __init__(
        self,
        decode: Decoder,
        drain_delay: Milliseconds,
        get_lag: Callable[[], Milliseconds],
        contact: StoreContact,
        journal: Journal,
    ) -> None:
        """Create a view without endpoints.

        :param decode: decodes the content of an entry.
        :param drain_delay: time in ms after the removal of its entry at which
            an endpoint must get no more requests.
        :param get_lag: returns the longest delay, in ms, with which a change
            in the store is seen here.
        :param contact: answers of the store to all daemons.
        :param journal: log of endpoint changes.
        """
        self._decode = decode
        self._drain_delay = drain_delay
        self._get_lag = get_lag
        self._contact = contact
        #: Runs that said in an answer that they leave.
        self.departures = Departures(journal)
        self._journal = journal
        self._endpoints: dict[str, EntryEndpoint] = {}
        self._rows: dict[str, StoredRow] = {}
        self._held_until: dict[str, Milliseconds] = {}
        self._store_failed_at: Milliseconds | None = None
        self._confirmed_at: Milliseconds | None = None
        #: Time in which no change was missed.
        self.continuity = Continuity()
        #: Store revision up to which all changes are known.
        self.as_of_revision = 0
        #: Store revision of the last change seen, removals included.
        self.changed_revision = 0
        self._changes = 0
        #: Endpoints as listed at a revision of the view: the list is asked for
        #: dozens of times a second, and there may be hundreds.
        self._listed: list[EntryEndpoint] = []
        self._listed_state: tuple[int, Collection[str] | None] = (-1, None)
        #: Returns the services of the configuration in force, None without one.
        self.get_services: Callable[[], Collection[str] | None] = _get_nothing
        #: Called when the endpoints change, or begin to be kept for a while.
        self.change_observers: list[Callable[[], None]] = []
        self.departures.change_observers.append(self._notify_change)

    @property
    def has_held(self) -> bool:
        """Whether endpoints with an expired entry are kept for a while."""
        return bool(self._held_until)

    @property
    def revision(self) -> int:
        """Number that rises with each change of the view."""
        return self._changes + self.departures.revision

    @property
    def confirmed_at(self) -> Milliseconds | None:
        """Last instant at which the entries were complete, None if never."""
        return self._confirmed_at

    def get_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the ms since the entries were complete, None if never.

        :param now: current instant.
        """
        return None if self._confirmed_at is None else now - self._confirmed_at

    def list_rows(self) -> list[StoredRow]:
        """Return the entries present in the store, for other daemons.

        Entries of endpoints that are only kept for a limited time are left
        out.
        """
        return [
            row
            for key, row in self._rows.items()
            if key not in self._held_until
        ]

    def list_endpoints(self, now: Milliseconds) -> list[EntryEndpoint]:
        """Return all endpoints, leaving ones included.

        Drops endpoints with expired entries whose hold time has passed.

        :param now: current instant.
        """
        for endpoint_id, until in tuple(self._held_until.items()):
            if now >= until:
                self._drop(endpoint_id, 'lapsed')
        self.departures.remove_expired(now)
        state = (self.revision, self.get_services())
        if self._listed_state != state:
            self._listed_state = state
            self._listed = self._compile_list(now)
        return self._listed.copy()

    def replace_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Replace all entries.

        :param rows: rows with their raw content.
        :param now: current instant.
        """
        present = {row.key for row in rows}
        for endpoint_id in tuple(self._endpoints):
            if endpoint_id not in present:
                self._handle_removal(endpoint_id, now)
        self.apply_rows(rows, now)

    def apply_rows(self, rows: Iterable[StoredRow], now: Milliseconds) -> None:
        """Apply changed entries.

        :param rows: rows with their raw content, None for removed entries.
        :param now: current instant.
        """
        for row in rows:
            self.changed_revision = max(self.changed_revision, row.version)
            known = self._rows.get(row.key)
            if row.content is None:
                if known is None or known.version <= row.version:
                    self._handle_removal(row.key, now)
            else:
                self._apply_entry(row, row.content, now)

    def confirm(self, as_of: Milliseconds, revision: int) -> None:
        """Record that the entries were complete at an instant.

        :param as_of: instant on the clock of this host.
        :param revision: revision of the store at that instant.
        """
        self.as_of_revision = max(self.as_of_revision, revision)
        self.continuity.record_confirmation(as_of)
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def record_failure(self, now: Milliseconds) -> None:
        """Record that a call of the store failed.

        :param now: current instant.
        """
        self._store_failed_at = max(now, self._store_failed_at or now)

    def _apply_entry(
        self, row: StoredRow, content: bytes, now: Milliseconds
    ) -> None:
        known = self._rows.get(row.key)
        if known is not None and known.version >= row.version:
            self._held_until.pop(row.key, None)
            return
        decoded = self._decode(row.key, content)
        if decoded.is_ok():
            self._rows[row.key] = row
            self._set_endpoint(decoded.unwrap())
            return
        self._journal.write(
            'endpoint_entry_unreadable',
            endpoint=row.key,
            reason=decoded.unwrap_err(),
        )
        self._handle_removal(row.key, now)

    def _compile_list(self, now: Milliseconds) -> list[EntryEndpoint]:
        """Return all endpoints, except those whose address a later one has.

        Entries of endpoints that ended are back for a while if the store
        returns from an older copy. An entry of a service that the configuration
        does not name may be anybody's and takes no address away.
        """
        newest: dict[Address, Milliseconds] = {}
        services = self.get_services()
        for item in self._endpoints.values():
            if services is None or item.service in services:
                known = newest.get(item.address, item.started_at)
                newest[item.address] = max(known, item.started_at)
        return [
            replace(endpoint, is_leaving=True)
            if self.departures.is_leaving(endpoint, now)
            else endpoint
            for endpoint in self._endpoints.values()
            if endpoint.started_at >= newest.get(endpoint.address, 0)
        ]

    def _set_endpoint(self, endpoint: EntryEndpoint) -> None:
        self._held_until.pop(endpoint.endpoint_id, None)
        known = self._endpoints.get(endpoint.endpoint_id)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._changes += 1
        self._notify_change()
        if known is None or _get_logged(known) != _get_logged(endpoint):
            self._journal.write(
                'endpoint_changed',
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                zone=endpoint.availability_zone,
                leaving=endpoint.is_leaving,
                cheap=endpoint.is_cheap,
                stage=endpoint.stage.value if endpoint.stage else None,
                version=endpoint.version,
            )

    def _handle_removal(self, endpoint_id: str, now: Milliseconds) -> None:
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        is_leaving = endpoint.is_leaving or self.departures.is_leaving(
            endpoint, now
        )
        failed_at = self._store_failed_at
        may_have_expired = (
            failed_at is not None
            and now - failed_at < _EXPIRY_WINDOW
            and self._contact.was_silent(_EXPIRY_WINDOW, now)
        )
        if may_have_expired and not is_leaving:
            hold = self._drain_delay - self._get_lag() - _HOLD_MARGIN
            self._held_until.setdefault(endpoint_id, now + max(0, hold))
            self._notify_change()
            return
        self._drop(endpoint_id, 'removed')

    def _drop(self, endpoint_id: str, reason: str) -> None:
        self._held_until.pop(endpoint_id, None)
        self._rows.pop(endpoint_id, None)
        if self._endpoints.pop(endpoint_id, None) is not None:
            self._changes += 1
            self._journal.write(
                'endpoint_gone', endpoint=endpoint_id, reason=reason
            )
            self._notify_change()

    def _notify_change(self) -> None:
        for observer in self.change_observers:
            observer()


def _get_nothing() -> None:
    """Return None; default of a view without a configuration."""


def _get_logged(endpoint: EntryEndpoint) -> tuple[bool, Stage | None, str]:
    """Return what is logged when it changes."""
    return endpoint.is_leaving, endpoint.stage, endpoint.version
