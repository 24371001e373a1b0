"""The endpoints that may get work, from their entries in the store."""

from collections.abc import Callable, Iterable

from result import Result

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.watch import StoredRow

Decoder = Callable[[str, bytes], Result[EntryEndpoint, str]]

#: An entry may lapse while the store is away although its endpoint lives; it
#: is back within about 2 s of the store's return.
_LAPSE_WINDOW: Milliseconds = 4000
#: What a lapsed endpoint's hold ends before the drain delay does, for the
#: requests that are just being sent.
_HOLD_MARGIN: Milliseconds = 300


class EndpointView:
    """Endpoints by id; those that leave are told apart."""

    def __init__(
        self,
        decode: Decoder,
        drain_delay: Milliseconds,
        get_lag: Callable[[], Milliseconds],
        journal: Journal,
    ) -> None:
        """Create a view without endpoints.

        :param decode: decodes the content of an entry.
        :param drain_delay: an endpoint whose entry is gone gets no request
            later than that.
        :param get_lag: returns how late a change may be seen here, in ms.
        :param journal: log of changes of state.
        """
        self._decode = decode
        self._drain_delay = drain_delay
        self._get_lag = get_lag
        self._journal = journal
        self._endpoints: dict[str, EntryEndpoint] = {}
        self._rows: dict[str, StoredRow] = {}
        self._held_until: dict[str, Milliseconds] = {}
        self._disrupted_at: Milliseconds | None = None
        self._confirmed_at: Milliseconds | None = None
        #: Revision of the store up to which all changes are known.
        self.as_of_revision = 0
        #: Revision of the last change that was seen.
        self.changed_revision = 0
        #: Rises with each change of the view.
        self.revision = 0

    @property
    def confirmed_at(self) -> Milliseconds | None:
        """Instant at which the entries were complete."""
        return self._confirmed_at

    def list_rows(self) -> list[StoredRow]:
        """Return the entries as they lie in the store, for other daemons."""
        return [
            row
            for key, row in self._rows.items()
            if key not in self._held_until
        ]

    def list_endpoints(self, now: Milliseconds) -> list[EntryEndpoint]:
        """Return all endpoints, leaving ones included.

        :param now: current instant.
        """
        for endpoint_id, until in tuple(self._held_until.items()):
            if now >= until:
                self._drop(endpoint_id, 'lapsed')
        return list(self._endpoints.values())

    def replace_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Take all entries in place of the former ones.

        :param rows: rows with their raw content.
        :param now: current instant.
        """
        present = {row.key for row in rows}
        for endpoint_id in tuple(self._endpoints):
            if endpoint_id not in present:
                self._lose(endpoint_id, now)
        self.apply_rows(rows, now)

    def apply_rows(self, rows: Iterable[StoredRow], now: Milliseconds) -> None:
        """Take changed entries.

        :param rows: rows with their raw content.
        :param now: current instant.
        """
        for row in rows:
            self.changed_revision = max(self.changed_revision, row.version)
            if row.content is None:
                self._lose(row.key, now)
            else:
                self._apply_entry(row, row.content, now)

    def confirm(self, as_of: Milliseconds, revision: int) -> None:
        """Take that the entries were complete at an instant.

        :param as_of: instant on the clock of this host.
        :param revision: revision of the store at that instant.
        """
        self.as_of_revision = max(self.as_of_revision, revision)
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def record_failure(self, now: Milliseconds) -> None:
        """Take that the store did not answer.

        :param now: current instant.
        """
        self._disrupted_at = now

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
            self._put(decoded.unwrap())
            return
        self._journal.write(
            'endpoint_entry_unreadable',
            endpoint=row.key,
            reason=decoded.unwrap_err(),
        )
        self._lose(row.key, now)

    def _put(self, endpoint: EntryEndpoint) -> None:
        self._held_until.pop(endpoint.endpoint_id, None)
        known = self._endpoints.get(endpoint.endpoint_id)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self.revision += 1
        if known is None or (known.is_leaving, known.stage) != (
            endpoint.is_leaving,
            endpoint.stage,
        ):
            self._journal.write(
                'endpoint_changed',
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                zone=endpoint.availability_zone,
                leaving=endpoint.is_leaving,
                cheap=endpoint.is_cheap,
                stage=endpoint.stage.value if endpoint.stage else None,
            )

    def _lose(self, endpoint_id: str, now: Milliseconds) -> None:
        if endpoint_id not in self._endpoints:
            return
        disrupted_at = self._disrupted_at
        is_suspect = (
            disrupted_at is not None and now - disrupted_at < _LAPSE_WINDOW
        )
        if is_suspect and not self._endpoints[endpoint_id].is_leaving:
            hold = self._drain_delay - self._get_lag() - _HOLD_MARGIN
            self._held_until.setdefault(endpoint_id, now + max(0, hold))
            return
        self._drop(endpoint_id, 'removed')

    def _drop(self, endpoint_id: str, reason: str) -> None:
        self._held_until.pop(endpoint_id, None)
        self._rows.pop(endpoint_id, None)
        if self._endpoints.pop(endpoint_id, None) is not None:
            self.revision += 1
            self._journal.write(
                'endpoint_gone', endpoint=endpoint_id, reason=reason
            )
