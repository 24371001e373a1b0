"""Pauses for which endpoints have asked this daemon."""

from collections.abc import Iterable

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.journal import Journal

#: Longest pause that is kept. An endpoint that asks for more is asked again
#: after this, so that one wrong answer does not bar it for good.
_MAX_PAUSE: Milliseconds = 300000


class EndpointPauses:
    """Keeps the runs of endpoints that want no requests for a time.

    A pause concerns the daemon that was asked for it, so the others are not
    told.
    """

    def __init__(self, journal: Journal) -> None:
        """Create an instance without pauses.

        :param journal: log of pauses.
        """
        self._journal = journal
        self._paused_until: dict[str, Milliseconds] = {}

    def record_answer(
        self,
        endpoint: EntryEndpoint,
        pause: Milliseconds | None,
        now: Milliseconds,
    ) -> None:
        """Record the pause for which an answer asks.

        :param endpoint: endpoint that answered.
        :param pause: length of the pause in ms, None if it asks for none.
        :param now: current instant.
        """
        if not pause:
            return
        self._remove_ended(now)
        former = self._paused_until.get(endpoint.run_id)
        until = now + min(pause, _MAX_PAUSE)
        self._paused_until[endpoint.run_id] = max(until, former or until)
        if former is None:
            self._journal.write(
                'endpoint_paused',
                endpoint=endpoint.endpoint_id,
                asked_ms=pause,
                until_ms=until,
            )

    def is_paused(self, endpoint: EntryEndpoint, now: Milliseconds) -> bool:
        """Return whether an endpoint wants no requests now.

        :param endpoint: any endpoint.
        :param now: current instant.
        """
        return now < self._paused_until.get(endpoint.run_id, now)

    def get_wait(
        self, endpoints: Iterable[EntryEndpoint], now: Milliseconds
    ) -> Milliseconds:
        """Return the time until the first of some endpoints takes requests.

        :param endpoints: endpoints that could run a request.
        :param now: current instant.
        :return: milliseconds, 0 if one takes requests now or there is none.
        """
        return min(
            (
                max(0, self._paused_until.get(endpoint.run_id, now) - now)
                for endpoint in endpoints
            ),
            default=0,
        )

    def _remove_ended(self, now: Milliseconds) -> None:
        for run_id, until in tuple(self._paused_until.items()):
            if until <= now:
                self._paused_until.pop(run_id)
