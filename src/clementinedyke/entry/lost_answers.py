"""Tells from lost answers which endpoints have ended."""

from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.quarantine.core import Evidence

#: Time in which a lost answer may be explained by the end of its endpoint.
#: Endpoints that crashed are back after some seconds.
_RETENTION: Milliseconds = 8000


@dataclass(slots=True)
class _Run:
    """Lost answers of one run of an endpoint, by fingerprint.

    ``ended_at`` is when a connection to it was refused, None if none was.
    """

    endpoint: EntryEndpoint
    changed_at: Milliseconds
    ended_at: Milliseconds | None = None
    lost_at: dict[str, Milliseconds] = field(default_factory=dict)


class LostAnswers:
    """Requests whose answers were lost, until the cause is known.

    A lost answer alone says little: connections break, and endpoints fail
    single requests. The run of the endpoint has ended if nothing listens at
    its address afterwards, or if a later run is seen there. If the same run
    answers a later request, it has not ended.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._runs: dict[str, _Run] = {}

    def record_lost_answer(
        self, endpoint: EntryEndpoint, fingerprint: str, now: Milliseconds
    ) -> tuple[Evidence, ...]:
        """Record a request without an answer.

        Return evidence if the run is known to have ended. Endpoints that are
        leaving end as planned.

        :param endpoint: endpoint that the request was sent to.
        :param fingerprint: fingerprint of the request.
        :param now: current instant.
        """
        self._remove_expired(now)
        if endpoint.is_leaving:
            return ()
        run = self._get_run(endpoint, now)
        run.lost_at[fingerprint] = now
        if run.ended_at is None:
            return ()
        return _pop_evidence(run, is_crash=False)

    def record_refused_connection(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> tuple[Evidence, ...]:
        """Record that nothing listens at an endpoint's address.

        Return the evidence against the requests that it ran.

        :param endpoint: endpoint that the connection was for.
        :param now: current instant.
        """
        run = self._get_run(endpoint, now)
        run.ended_at = now
        return _pop_evidence(run, is_crash=False)

    def record_answer(
        self,
        endpoint: EntryEndpoint,
        requested_at: Milliseconds,
    ) -> tuple[Evidence, ...]:
        """Record that a run of an endpoint answered a request.

        Return the evidence against the requests that earlier runs at its
        address ran.

        :param endpoint: endpoint that answered.
        :param requested_at: instant at which the request was sent.
        """
        own = self._runs.get(endpoint.run_id)
        if own is not None and own.changed_at <= requested_at:
            self._runs.pop(endpoint.run_id)
        return self.record_start(endpoint)

    def record_start(self, endpoint: EntryEndpoint) -> tuple[Evidence, ...]:
        """Record that a run of an endpoint has started.

        Return the evidence against the requests that earlier runs at its
        address ran.

        :param endpoint: endpoint that answered or is registered.
        """
        evidence: list[Evidence] = []
        for run in tuple(self._runs.values()):
            former = run.endpoint
            if (
                former.address == endpoint.address
                and former.started_at < endpoint.started_at
            ):
                evidence += _pop_evidence(run, is_crash=True)
                self._runs.pop(former.run_id)
        return tuple(evidence)

    def _get_run(self, endpoint: EntryEndpoint, now: Milliseconds) -> _Run:
        run = self._runs.setdefault(endpoint.run_id, _Run(endpoint, now))
        run.changed_at = now
        return run

    def _remove_expired(self, now: Milliseconds) -> None:
        for run_id, run in tuple(self._runs.items()):
            if now - run.changed_at > _RETENTION:
                self._runs.pop(run_id)


def _pop_evidence(run: _Run, *, is_crash: bool) -> tuple[Evidence, ...]:
    fingerprints = sorted(run.lost_at)
    run.lost_at.clear()
    return tuple(
        Evidence(
            str(run.endpoint.address),
            run.endpoint.run_id,
            fingerprint,
            is_crash=is_crash,
        )
        for fingerprint in fingerprints
    )
