"""Decides which requests may run although endpoints ended under them."""

import itertools
from collections.abc import Callable, Iterable, Sequence

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.lost_answers import LostAnswers
from clementinedyke.entry.part_suspects import PartSuspects
from clementinedyke.quarantine.core import (
    EndpointAnswered,
    Evidence,
    EvidenceFound,
    EvidenceReceived,
    QuarantineCore,
    QuarantineSettings,
    RequestEnded,
    RequestStarted,
    Verdict,
)
from clementinedyke.quarantine.part_labels import is_part_label

#: Evidence reaches the other daemons within some milliseconds. A suspect has to
#: wait that long before it is sent again.
_SETTLE_TIME: Milliseconds = 50
#: Endpoints that crash and restart all day also end under harmless requests.
#: A request is kept apart from other suspects after two ends and refused after
#: three; until then it is retried without a delay.
_SETTINGS = QuarantineSettings(
    settle_time=_SETTLE_TIME, isolation_losses=2, conviction_losses=3
)
#: Maximum number of items of evidence in a datagram.
_MAX_SENT_ITEMS = 40
#: Earliest times of the sends of an item after its finding. Datagrams are lost,
#: and a daemon may have started just now.
_SEND_TIMES: tuple[Milliseconds, ...] = (0, 300, 1000)
#: Fingerprints in a log line.
_MAX_LOGGED = 8
#: Losses that this daemon remembers to have found.
_MAX_FOUND = 2000

EvidenceObserver = Callable[[Sequence[Evidence]], None]
#: Address of the endpoint, its run id and the fingerprint.
_Loss = tuple[str, str, str]


class Suspects:
    """Requests under which endpoints ended, as known to this daemon.

    Endpoints are identified by their address, which a restarted one keeps, and
    each run by its run id.
    """

    def __init__(self, journal: Journal, owner: str = '') -> None:
        """Create a table without evidence.

        :param journal: log of ends and suspects.
        :param owner: name of this daemon.
        """
        self._journal = journal
        #: Parts of prompts under which endpoints ended.
        self.parts = PartSuspects(journal, owner)
        self._core = QuarantineCore(_SETTINGS)
        self._lost_answers = LostAnswers()
        #: Instants of the next sends of each item of evidence.
        self._unsent: dict[Evidence, list[Milliseconds]] = {}
        #: Losses that this daemon found, in order, as a set.
        self._found: dict[_Loss, None] = {}
        #: Called with evidence against suspects that this daemon finds. Other
        #: evidence is frequent and can wait for the next regular datagram.
        self.urgent_observers: list[EvidenceObserver] = []
        #: Called with the evidence against suspects that this daemon stores.
        self.storage_observers: list[EvidenceObserver] = []

    def has_due(self, now: Milliseconds) -> bool:
        """Return whether there is evidence to send to the other daemons now.

        :param now: current instant.
        """
        return any(times[0] <= now for times in self._unsent.values())

    def pop_unsent(self, now: Milliseconds) -> list[Evidence]:
        """Return evidence to send to the other daemons now.

        Each item is returned several times.

        :param now: current instant.
        """
        due = [item for item, times in self._unsent.items() if times[0] <= now][
            :_MAX_SENT_ITEMS
        ]
        for item in due:
            self._unsent[item].pop(0)
            if not self._unsent[item]:
                self._unsent.pop(item)
        return due

    def get_verdict(self, fingerprint: str, now: Milliseconds) -> Verdict:
        """Return whether a request may be sent to an endpoint.

        :param fingerprint: fingerprint of the request.
        :param now: current instant.
        """
        return self._core.get_verdict(fingerprint, now)

    def get_hold_time(
        self, fingerprint: str, now: Milliseconds
    ) -> Milliseconds:
        """Return the time in ms for which a suspect has to wait.

        :param fingerprint: fingerprint of the request.
        :param now: current instant.
        """
        return self._core.get_remaining_hold_time(fingerprint, now)

    def list_excluded(
        self,
        fingerprint: str,
        endpoints: Iterable[EntryEndpoint],
        now: Milliseconds,
    ) -> frozenset[str]:
        """Return the ids of endpoints on which a request may not run now.

        :param fingerprint: fingerprint of the request.
        :param endpoints: endpoints that could run it.
        :param now: current instant.
        """
        if self._core.get_verdict(fingerprint, now) is Verdict.CLEAR:
            return frozenset()
        listed = tuple(endpoints)
        excluded = self._core.list_excluded_endpoints(
            fingerprint, (str(item.address) for item in listed), now
        )
        return frozenset(
            item.endpoint_id for item in listed if str(item.address) in excluded
        )

    def record_start(
        self, request_id: str, fingerprint: str, endpoint: EntryEndpoint
    ) -> None:
        """Record that a request is sent to an endpoint.

        :param request_id: id of the request.
        :param fingerprint: fingerprint of the request.
        :param endpoint: endpoint that it is sent to.
        """
        address = str(endpoint.address)
        event = RequestStarted(request_id, fingerprint, address)
        self._core.handle(event, 0)

    def record_end(
        self, request_id: str, now: Milliseconds, *, is_complete: bool
    ) -> None:
        """Record the end of an attempt.

        :param request_id: id of the request.
        :param now: current instant.
        :param is_complete: whether the endpoint ran it and answered in full.
        """
        self._core.handle(RequestEnded(request_id, is_complete), now)

    def record_lost_answer(
        self,
        endpoint: EntryEndpoint,
        fingerprint: str,
        now: Milliseconds,
        labels: Sequence[str] = (),
    ) -> None:
        """Record a request that an endpoint has not answered.

        :param endpoint: endpoint that the request was sent to.
        :param fingerprint: fingerprint of the request.
        :param now: current instant.
        :param labels: fingerprints that stand for the parts of its prompt.
        """
        found = [
            self._lost_answers.record_lost_answer(endpoint, name, now)
            for name in (fingerprint, *labels)
        ]
        self._apply_found(tuple(itertools.chain.from_iterable(found)), now)

    def record_refused_connection(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> None:
        """Record that nothing listens at the address of an endpoint.

        :param endpoint: endpoint that the connection was for.
        :param now: current instant.
        """
        self._apply_found(
            self._lost_answers.record_refused_connection(endpoint, now), now
        )

    def record_answer(
        self,
        endpoint: EntryEndpoint,
        requested_at: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Record the answer of an endpoint, which shows that this run lives.

        :param endpoint: endpoint that answered.
        :param requested_at: instant at which the request was sent.
        :param now: current instant.
        """
        self._apply_found(
            self._lost_answers.record_answer(endpoint, requested_at), now
        )
        # The restart that this shows needs no word to the other daemons: they
        # get answers of the endpoint too.
        address = str(endpoint.address)
        self._core.handle(
            EndpointAnswered(address, endpoint.run_id, requested_at), now
        )

    def record_endpoints(
        self, endpoints: Iterable[EntryEndpoint], now: Milliseconds
    ) -> None:
        """Record the endpoints that are registered.

        A later run at an address shows the end of a silent endpoint.

        :param endpoints: all endpoints, leaving ones included.
        :param now: current instant.
        """
        for endpoint in endpoints:
            self._apply_found(self._lost_answers.record_start(endpoint), now)

    def receive_evidence(
        self, evidence: Sequence[Evidence], now: Milliseconds
    ) -> None:
        """Apply evidence of another daemon or from the store.

        :param evidence: items, known ones included.
        :param now: current instant.
        """
        requests, parts = _split_evidence(evidence)
        self._apply(EvidenceReceived(requests), now)
        self._apply_parts(parts, now, is_found=False)

    def _apply_found(
        self, evidence: tuple[Evidence, ...], now: Milliseconds
    ) -> None:
        if not evidence:
            return
        first = evidence[0]
        requests, parts = _split_evidence(evidence)
        names = [item.fingerprint for item in requests]
        self._journal.write(
            'endpoint_ended',
            address=first.endpoint_id,
            run=first.boot_id,
            restarted=first.is_crash,
            requests=len(names),
            fingerprints=names[:_MAX_LOGGED],
            parts=[item.fingerprint for item in parts][:_MAX_LOGGED],
        )
        self._apply(EvidenceFound(requests), now)
        self._apply_parts(parts, now, is_found=True)

    def _apply(
        self, event: EvidenceFound | EvidenceReceived, now: Milliseconds
    ) -> None:
        names = {item.fingerprint for item in event.evidence}
        before = {name: self._core.get_verdict(name, now) for name in names}
        for action in self._core.handle(event, now):
            self._share(action.evidence, now)
        self._store(names, is_found=isinstance(event, EvidenceFound))
        for name, former in before.items():
            verdict = self._core.get_verdict(name, now)
            if verdict is not former:
                self._journal.write(
                    'suspect_changed',
                    fingerprint=name,
                    former=former.value,
                    verdict=verdict.value,
                    ends=len(self._core.list_evidence(name)),
                )

    def _apply_parts(
        self,
        evidence: tuple[Evidence, ...],
        now: Milliseconds,
        *,
        is_found: bool,
    ) -> None:
        added = self.parts.record_losses(evidence, now)
        if is_found:
            self._share(self.parts.select_shared(added, now), now)
        self._store({item.fingerprint for item in added}, is_found=is_found)

    def _share(self, evidence: tuple[Evidence, ...], now: Milliseconds) -> None:
        for item in evidence:
            self._found[_get_loss(item)] = None
            self._unsent[item] = [now + delay for delay in _SEND_TIMES]
        while len(self._found) > _MAX_FOUND:
            self._found.pop(next(iter(self._found)))
        if any(self._is_urgent(found.fingerprint) for found in evidence):
            for observer in self.urgent_observers:
                observer(evidence)

    def _store(self, fingerprints: Iterable[str], *, is_found: bool) -> None:
        """Pass on the evidence against suspects that has to last.

        Two daemons may find one loss each at the same time, and neither knows
        of a second one then. So each stores its own losses when it learns of
        others, too.
        """
        for name in fingerprints:
            if not self._must_last(name):
                continue
            evidence = self._list_evidence(name)
            own = [item for item in evidence if _get_loss(item) in self._found]
            for observer in self.storage_observers:
                observer(evidence if is_found else own)

    def _is_urgent(self, fingerprint: str) -> bool:
        # The requests with a part differ, so each daemon may see one end only.
        return is_part_label(fingerprint) or self._is_suspect(fingerprint)

    def _must_last(self, fingerprint: str) -> bool:
        if is_part_label(fingerprint):
            return self.parts.must_last(fingerprint)
        return self._is_suspect(fingerprint)

    def _list_evidence(self, fingerprint: str) -> list[Evidence]:
        if is_part_label(fingerprint):
            return self.parts.list_evidence(fingerprint)
        return self._core.list_evidence(fingerprint)

    def _is_suspect(self, fingerprint: str) -> bool:
        losses = self._core.list_evidence(fingerprint)
        return len(losses) >= _SETTINGS.isolation_losses


def _split_evidence(
    evidence: Iterable[Evidence],
) -> tuple[tuple[Evidence, ...], tuple[Evidence, ...]]:
    """Return the evidence against requests, and that against prompt parts."""
    items = tuple(evidence)
    parts = tuple(item for item in items if is_part_label(item.fingerprint))
    requests = tuple(
        item for item in items if not is_part_label(item.fingerprint)
    )
    return requests, parts


def _get_loss(evidence: Evidence) -> _Loss:
    return evidence.endpoint_id, evidence.boot_id, evidence.fingerprint
