"""Connects lost endpoints with the prompt parts of the requests they ran."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.quarantine.core import Evidence, Verdict
from clementinedyke.quarantine.part_labels import (
    compile_label,
    get_part,
    is_part_label,
    is_trial_label,
)
from clementinedyke.quarantine.parts import PartCore, PartLimits, PartVerdict

#: Losses that wait for the next answer of their endpoint.
_MAX_PENDING = 1000


@dataclass(frozen=True, slots=True)
class _Running:
    endpoint_id: str
    parts: tuple[str, ...]


@dataclass(slots=True)
class _PendingLoss:
    """Labels of the parts that were in flight, until the cause is known."""

    detected_at: Milliseconds
    labels: set[str] = field(default_factory=set)


class PartLosses:
    """Decides which requests run although endpoints ended under their parts.

    A loss counts against the parts of all requests in flight once the endpoint
    has answered with another boot id, so that it was no broken connection.
    """

    def __init__(self) -> None:
        """Create a table without losses."""
        # Daemons don't tell one another of trials, so that no name is needed.
        self._core = PartCore(PartLimits(), owner='')
        self._running: dict[str, _Running] = {}
        self._pending: dict[tuple[str, str], _PendingLoss] = {}

    def get_verdict(
        self, request_id: str, parts: Sequence[str], now: Milliseconds
    ) -> Verdict:
        """Return how a request with certain parts is handled.

        :param request_id: id of the request.
        :param parts: digests of the parts that other requests may contain.
        :param now: current time in milliseconds.
        """
        verdict = self._core.get_verdict(parts, now)
        if verdict is PartVerdict.CONVICTED:
            return Verdict.CONVICTED
        if verdict is PartVerdict.CLEAR or self._core.is_trial(request_id):
            return Verdict.CLEAR
        suspected = self._core.list_suspected(parts, now)
        is_reserved = self._core.reserve_trial(request_id, suspected, now)
        return Verdict.CLEAR if is_reserved else Verdict.HELD

    def record_start(
        self, request_id: str, endpoint_id: str, parts: tuple[str, ...]
    ) -> None:
        """Record that a request is sent to an endpoint.

        :param request_id: id of the request.
        :param endpoint_id: endpoint that runs it.
        :param parts: digests of the parts that other requests may contain.
        """
        self._running[request_id] = _Running(endpoint_id, parts)

    def record_end(
        self, request_id: str, now: Milliseconds, *, is_complete: bool
    ) -> None:
        """Record that an endpoint no longer runs a request.

        :param request_id: id of the request.
        :param now: current time in milliseconds.
        :param is_complete: whether its whole response arrived.
        """
        running = self._running.pop(request_id, None)
        if running is not None and is_complete:
            self._core.record_completion(running.parts, now)

    def end_trial(self, request_id: str) -> None:
        """Record that a request, which may be a trial, makes no attempt more.

        :param request_id: id of the request.
        """
        self._core.end_trial(request_id)

    def record_loss(
        self, endpoint_id: str, boot_id: str, now: Milliseconds
    ) -> None:
        """Record that connections to an endpoint broke.

        :param endpoint_id: endpoint that may have ended.
        :param boot_id: boot id of its last answer.
        :param now: current time in milliseconds.
        """
        key = (endpoint_id, boot_id)
        pending = self._pending.setdefault(key, _PendingLoss(now))
        for request_id, running in self._running.items():
            if running.endpoint_id == endpoint_id:
                is_trial = self._core.is_trial(request_id)
                pending.labels.update(
                    compile_label(part, is_trial=is_trial)
                    for part in running.parts
                )
        while len(self._pending) > _MAX_PENDING:
            self._pending.pop(next(iter(self._pending)))

    def record_answer(
        self,
        endpoint_id: str,
        boot_id: str,
        requested_at: Milliseconds,
        now: Milliseconds,
    ) -> tuple[Evidence, ...]:
        """Record the boot id in an answer; return new evidence to share.

        :param endpoint_id: endpoint that answered.
        :param boot_id: its boot id.
        :param requested_at: time of the question in milliseconds.
        :param now: current time in milliseconds.
        """
        evidence: list[Evidence] = []
        for key, pending in tuple(self._pending.items()):
            if key[0] != endpoint_id:
                continue
            has_ended = key[1] != boot_id
            if has_ended or requested_at >= pending.detected_at:
                self._pending.pop(key)
            if has_ended:
                evidence += [
                    Evidence(*key, label, is_crash=True)
                    for label in sorted(pending.labels)
                ]
        return tuple(item for item in evidence if self._record(item, now))

    def receive_evidence(
        self, evidence: Iterable[Evidence], now: Milliseconds
    ) -> tuple[Evidence, ...]:
        """Apply evidence against parts; return the items against requests.

        :param evidence: items of another daemon.
        :param now: current time in milliseconds.
        """
        others: list[Evidence] = []
        for item in evidence:
            if is_part_label(item.fingerprint):
                self._record(item, now)
            else:
                others.append(item)
        return tuple(others)

    def _record(self, item: Evidence, now: Milliseconds) -> bool:
        return self._core.record_loss(
            get_part(item.fingerprint),
            (item.endpoint_id, item.boot_id),
            now,
            is_trial=is_trial_label(item.fingerprint),
        )
