"""Runs of endpoints that said in an answer that they leave."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.news import select_told

#: Time after its last such answer in which a run gets no requests. A leaving
#: endpoint exits within seconds; one that lives on is tried again after this.
_LIFETIME: Milliseconds = 600000

#: Run id of an endpoint, and time in ms since the answer that said so.
DepartureNews = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _Departure:
    """When a run said that it leaves; ``is_own`` if it told this daemon."""

    said_at: Milliseconds
    is_own: bool


class Departures:
    """Keeps the runs that leave, whatever their entries in the store say.

    A run stays barred until its next run is listed, until it answers a later
    request without saying that it leaves, or until the lifetime has passed.
    """

    def __init__(self, journal: Journal) -> None:
        """Create an instance without departures.

        :param journal: log of runs that leave.
        """
        self._journal = journal
        self._departures: dict[str, _Departure] = {}
        #: Incremented when a run begins or ceases to count as leaving.
        self.revision = 0
        #: Called with a departure that the other daemons have to know at once.
        self.urgent_observers: list[Callable[[], None]] = []
        #: Called when the revision has changed.
        self.change_observers: list[Callable[[], None]] = []

    def record_answer(
        self,
        endpoint: EntryEndpoint,
        sent_at: Milliseconds,
        now: Milliseconds,
        *,
        is_leaving: bool,
    ) -> None:
        """Record whether an answer says that its endpoint leaves.

        :param endpoint: endpoint that answered.
        :param sent_at: instant at which the request was sent. An answer to an
            earlier request does not lift what a later one said.
        :param now: current instant.
        :param is_leaving: whether the answer says so.
        """
        known = self._departures.get(endpoint.run_id)
        if not is_leaving:
            if known is not None and sent_at > known.said_at:
                self._remove(endpoint.run_id, 'stays')
            return
        self._departures[endpoint.run_id] = _Departure(now, is_own=True)
        if known is None:
            self._record_change(endpoint.run_id, 'leaves')
        if known is None or not known.is_own:
            for observer in self.urgent_observers:
                observer()

    def is_leaving(self, endpoint: EntryEndpoint, now: Milliseconds) -> bool:
        """Return whether a run of an endpoint leaves.

        :param endpoint: any endpoint.
        :param now: current instant.
        """
        known = self._departures.get(endpoint.run_id)
        if known is None:
            return False
        if now - known.said_at < _LIFETIME:
            return True
        self._remove(endpoint.run_id, 'forgotten')
        return False

    def remove_expired(self, now: Milliseconds) -> None:
        """Forget departures whose lifetime has passed.

        :param now: current instant.
        """
        for run_id, departure in tuple(self._departures.items()):
            if now - departure.said_at >= _LIFETIME:
                self._remove(run_id, 'forgotten')

    def list_news(
        self, now: Milliseconds, *, has_new_daemon: bool = False
    ) -> list[DepartureNews]:
        """Return what this daemon was told lately, the newest first.

        :param now: current instant.
        :param has_new_daemon: whether a daemon that started lately has to be
            told what the others have known for longer.
        """
        said_at = {
            run_id: departure.said_at
            for run_id, departure in self._departures.items()
            if departure.is_own
        }
        if has_new_daemon:
            return select_told(said_at, now, _LIFETIME)
        return select_told(said_at, now)

    def receive_news(
        self, news: Sequence[DepartureNews], now: Milliseconds
    ) -> None:
        """Apply departures that another daemon was told.

        :param news: items of the other daemon.
        :param now: current instant.
        """
        for run_id, age in news:
            said_at = now - max(0, age)
            known = self._departures.get(run_id)
            if known is None:
                self.remove_expired(now)
                self._departures[run_id] = _Departure(said_at, is_own=False)
                self._record_change(run_id, 'told')
            elif not known.is_own and said_at > known.said_at:
                self._departures[run_id] = _Departure(said_at, is_own=False)

    def _remove(self, run_id: str, reason: str) -> None:
        self._departures.pop(run_id)
        self._record_change(run_id, reason)

    def _record_change(self, run_id: str, reason: str) -> None:
        self.revision += 1
        self._journal.write('endpoint_departure', run=run_id, reason=reason)
        for observer in self.change_observers:
            observer()
