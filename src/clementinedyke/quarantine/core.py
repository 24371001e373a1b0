"""Detects requests that crash the endpoints that run them.

Requests are identified by a fingerprint, a digest of customer, service and
body. Each loss of an endpoint is evidence against the fingerprints that were
in flight on it. The evidence of all daemons is merged, so a caller that
repeats its request through another daemon gets the same verdict.
"""

import enum
import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds


class Verdict(enum.Enum):
    """How requests with a fingerprint are handled."""

    #: Run the request on any endpoint.
    CLEAR = 'clear'
    #: Run the request, after its hold time, on an endpoint that runs no other
    #: suspect: it was in flight when an endpoint was lost.
    SUSPECT = 'suspect'
    #: Refuse the request for now: the evidence about a loss is incomplete.
    HELD = 'held'
    #: Refuse the request: it was identified as the cause of crashes.
    CONVICTED = 'convicted'


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was dispatched to an endpoint."""

    request_id: str
    fingerprint: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request ended; ``is_complete`` if its whole response arrived."""

    request_id: str
    is_complete: bool


@dataclass(frozen=True, slots=True)
class EndpointLost:
    """Connections to an endpoint broke while requests were running on it."""

    endpoint_id: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """An endpoint answered a state request with its boot id.

    ``requested_at`` is the time in milliseconds at which the state was
    requested.
    """

    endpoint_id: str
    boot_id: str
    requested_at: Milliseconds


@dataclass(frozen=True, slots=True)
class Evidence:
    """A fingerprint was in flight when an endpoint was lost.

    ``is_crash`` is true if the endpoint came back with a different boot id,
    which confirms that it crashed.
    """

    endpoint_id: str
    boot_id: str
    fingerprint: str
    is_crash: bool


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Evidence was received from another daemon."""

    evidence: tuple[Evidence, ...]


@dataclass(frozen=True, slots=True)
class EvidenceFound:
    """This daemon found evidence by other means than :class:`EndpointLost`."""

    evidence: tuple[Evidence, ...]


@dataclass(frozen=True, slots=True)
class ShareEvidence:
    """Store evidence and share it with the other daemons."""

    evidence: tuple[Evidence, ...]


QuarantineEvent = (
    RequestStarted
    | RequestEnded
    | EndpointLost
    | EndpointAnswered
    | EvidenceReceived
    | EvidenceFound
)


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Limits of the quarantine; times in milliseconds.

    ``settle_time``: time in which evidence about a loss reaches all daemons.
    ``retention``: time after which evidence is deleted.
    ``max_losses``: maximum number of stored losses; the oldest is deleted.
    ``isolation_losses``: losses after which a fingerprint is a suspect, which
    is kept apart from the other ones.
    ``conviction_losses``: losses after which a fingerprint can be identified
    as the cause.
    """

    settle_time: Milliseconds = 1500
    retention: Milliseconds = 3600000
    max_losses: int = 1000
    isolation_losses: int = 1
    conviction_losses: int = 2


@dataclass(slots=True)
class _Loss:
    detected_at: Milliseconds
    is_crash: bool = False
    fingerprints: set[str] = field(default_factory=set)


_LossKey = tuple[str, str]


class QuarantineCore:
    """Decides at one daemon which request fingerprints are quarantined."""

    def __init__(self, settings: QuarantineSettings) -> None:
        """Create a core without evidence.

        :param settings: limits of the quarantine.
        """
        self._settings = settings
        self._running: dict[str, RequestStarted] = {}
        self._losses: dict[_LossKey, _Loss] = {}
        self._cleared: dict[str, set[_LossKey]] = defaultdict(set)
        #: Cached causes of losses; None after a change of the evidence.
        self._causes: set[str] | None = None

    def get_verdict(self, fingerprint: str, now: Milliseconds) -> Verdict:
        """Return the verdict on a request.

        :param fingerprint: fingerprint of the request.
        :param now: current time in milliseconds.
        """
        self._remove_expired(now)
        losses = [
            self._losses[key] for key in self._get_open_loss_keys(fingerprint)
        ]
        if len(losses) < self._settings.isolation_losses:
            return Verdict.CLEAR
        causes = self._get_causes()
        if fingerprint not in causes:
            losses = [loss for loss in losses if not loss.fingerprints & causes]
        if len(losses) < self._settings.conviction_losses:
            return Verdict.SUSPECT
        if self.get_remaining_hold_time(fingerprint, now):
            return Verdict.HELD
        if fingerprint not in causes:
            return Verdict.SUSPECT
        are_crashes = all(loss.is_crash for loss in losses)
        return Verdict.CONVICTED if are_crashes else Verdict.HELD

    def get_remaining_hold_time(
        self, fingerprint: str, now: Milliseconds
    ) -> Milliseconds:
        """Return the remaining hold time of a suspect in milliseconds.

        The hold time ends ``settle_time`` after the newest loss. Before that,
        other daemons may not know of the loss, and this one may not know all
        requests that were in flight, so running the suspect could cost another
        endpoint. A suspect waits for the hold time before each attempt. The
        result is 0 for other requests.

        :param fingerprint: fingerprint of the request.
        :param now: current time in milliseconds.
        """
        loss_times = [
            self._losses[key].detected_at
            for key in self._get_open_loss_keys(fingerprint)
        ]
        if not loss_times:
            return 0
        return max(0, max(loss_times) + self._settings.settle_time - now)

    def can_run_suspect(self, endpoint_id: str, fingerprint: str) -> bool:
        """Return whether no other suspect is running on an endpoint.

        :param endpoint_id: endpoint that would run the suspect.
        :param fingerprint: fingerprint of the suspect.
        """
        return not any(
            started.endpoint_id == endpoint_id
            and started.fingerprint != fingerprint
            and len(self._get_open_loss_keys(started.fingerprint))
            >= self._settings.isolation_losses
            for started in self._running.values()
        )

    def list_excluded_endpoints(
        self, fingerprint: str, endpoint_ids: Iterable[str], now: Milliseconds
    ) -> frozenset[str]:
        """Return the endpoints on which a request may not run now.

        The hold time of all suspects of a loss ends at the same time at all
        daemons. Each suspect is therefore assigned a separate set of
        endpoints, so that a second loss shows which one is the cause. If there
        are more suspects than endpoints, they take turns.

        :param fingerprint: fingerprint of the request.
        :param endpoint_ids: endpoints that could run it.
        :param now: current time in milliseconds.
        """
        candidates = set(endpoint_ids)
        keys = self._get_open_loss_keys(fingerprint)
        if len(keys) < self._settings.isolation_losses:
            return frozenset()
        excluded = {
            endpoint_id
            for endpoint_id in candidates
            if not self.can_run_suspect(endpoint_id, fingerprint)
        }
        newest = max(keys, key=lambda key: self._losses[key].detected_at)
        # All daemons must compute the same assignment. Only the newest loss is
        # used since older losses may be known to some of them only.
        usable = sorted(candidates - {newest[0]})
        if usable:
            assigned = self._list_assigned(fingerprint, newest, usable, now)
            excluded |= candidates - assigned
        return frozenset(excluded)

    def list_evidence(self, fingerprint: str) -> list[Evidence]:
        """Return the open losses of a fingerprint.

        :param fingerprint: fingerprint of a request.
        """
        return [
            Evidence(*key, fingerprint, is_crash=self._losses[key].is_crash)
            for key in self._get_open_loss_keys(fingerprint)
        ]

    def handle(
        self, event: QuarantineEvent, now: Milliseconds
    ) -> list[ShareEvidence]:
        """Process an event and return the new evidence to share.

        :param event: event of this module.
        :param now: current time in milliseconds.
        """
        evidence = self._apply(event, now)
        return [ShareEvidence(tuple(evidence))] if evidence else []

    @singledispatchmethod
    def _apply(
        self, event: QuarantineEvent, now: Milliseconds
    ) -> list[Evidence]:
        raise TypeError(f'unknown event {event!r}')

    @_apply.register
    def _handle_start(
        self, event: RequestStarted, now: Milliseconds
    ) -> list[Evidence]:
        self._running[event.request_id] = event
        return []

    @_apply.register
    def _handle_end(
        self, event: RequestEnded, now: Milliseconds
    ) -> list[Evidence]:
        started = self._running.pop(event.request_id, None)
        if started is not None and event.is_complete:
            losses = self._get_all_loss_keys(started.fingerprint)
            if losses:
                self._cleared[started.fingerprint].update(losses)
                self._causes = None
        return []

    @_apply.register
    def _handle_loss(
        self, event: EndpointLost, now: Milliseconds
    ) -> list[Evidence]:
        in_flight = {
            started.fingerprint
            for started in self._running.values()
            if started.endpoint_id == event.endpoint_id
        }
        evidence = [
            Evidence(
                event.endpoint_id,
                event.boot_id,
                fingerprint,
                is_crash=False,
            )
            for fingerprint in sorted(in_flight)
        ]
        return self._add_all(evidence, now)

    @_apply.register
    def _handle_answer(
        self, event: EndpointAnswered, now: Milliseconds
    ) -> list[Evidence]:
        shared: list[Evidence] = []
        for key, loss in list(self._losses.items()):
            if key[0] != event.endpoint_id or loss.is_crash:
                continue
            if key[1] != event.boot_id:
                loss.is_crash = True
                shared += _compile_evidence(key, loss)
            elif event.requested_at >= loss.detected_at:
                # The endpoint did not restart, so only its connections broke.
                # An answer requested before the loss does not prove that.
                self._losses.pop(key)
                self._causes = None
        return shared

    @_apply.register
    def _handle_found_evidence(
        self, event: EvidenceFound, now: Milliseconds
    ) -> list[Evidence]:
        return self._add_all(event.evidence, now)

    @_apply.register
    def _handle_evidence(
        self, event: EvidenceReceived, now: Milliseconds
    ) -> list[Evidence]:
        self._add_all(event.evidence, now)
        return []

    def _add_all(
        self,
        evidence: list[Evidence] | tuple[Evidence, ...],
        now: Milliseconds,
    ) -> list[Evidence]:
        """Add evidence and return the items that were not known."""
        self._causes = None
        added = [item for item in evidence if self._add(item, now)]
        while len(self._losses) > self._settings.max_losses:
            self._losses.pop(next(iter(self._losses)))
        return added

    def _add(self, item: Evidence, now: Milliseconds) -> bool:
        key = (item.endpoint_id, item.boot_id)
        loss = self._losses.setdefault(key, _Loss(now))
        is_new = item.fingerprint not in loss.fingerprints
        is_new = is_new or (item.is_crash and not loss.is_crash)
        loss.is_crash = loss.is_crash or item.is_crash
        loss.fingerprints.add(item.fingerprint)
        return is_new

    def _list_assigned(
        self,
        fingerprint: str,
        key: _LossKey,
        usable: list[str],
        now: Milliseconds,
    ) -> set[str]:
        """Return the endpoints of a suspect, none before its turn."""
        loss = self._losses[key]
        suspects = sorted(
            suspect
            for suspect in loss.fingerprints
            # Losses count here from which this daemon knows it as cleared,
            # since the other daemons may not know.
            if len(self._get_all_loss_keys(suspect))
            >= self._settings.isolation_losses
        )
        turn, rank = divmod(suspects.index(fingerprint), len(usable))
        if now < loss.detected_at + self._settings.settle_time * (1 + turn):
            return set()
        return {
            endpoint_id
            for index, endpoint_id in enumerate(usable)
            if index % len(suspects) == rank
        }

    def _get_causes(self) -> set[str]:
        if self._causes is None:
            self._causes = self._find_causes()
        return self._causes

    def _find_causes(self) -> set[str]:
        """Return the fingerprints that are identified as causes of losses.

        A loss with a known cause in flight is attributed to that cause and is
        not evidence against the other fingerprints.
        """
        causes: set[str] = set()
        unattributed: list[set[str]] = []
        for in_flight in self._list_repeated_suspects():
            if in_flight & causes:
                continue
            unattributed.append(in_flight)
            causes |= _find_sole_suspects(
                unattributed, self._settings.conviction_losses
            )
            unattributed = [
                remaining
                for remaining in unattributed
                if not remaining & causes
            ]
        return causes

    def _list_repeated_suspects(self) -> list[set[str]]:
        """Return the suspects of each loss that are in several losses.

        Losses without such suspects are left out. Few requests are in flight
        in two losses, so comparing losses stays cheap.
        """
        losses = list(
            itertools.starmap(self._list_suspects, self._losses.items())
        )
        repeated = _get_repeated(losses, self._settings.conviction_losses)
        return [
            in_flight & repeated for in_flight in losses if in_flight & repeated
        ]

    def _list_suspects(self, key: _LossKey, loss: _Loss) -> set[str]:
        """Return the fingerprints of a loss that have not been cleared of it.

        A fingerprint is cleared when one of its requests completes.
        """
        return {
            fingerprint
            for fingerprint in loss.fingerprints
            if key not in self._cleared.get(fingerprint, set())
        }

    def _get_open_loss_keys(self, fingerprint: str) -> list[_LossKey]:
        """Return the losses that a fingerprint has not been cleared of."""
        cleared = self._cleared.get(fingerprint, set())
        return [
            key
            for key in self._get_all_loss_keys(fingerprint)
            if key not in cleared
        ]

    def _get_all_loss_keys(self, fingerprint: str) -> list[_LossKey]:
        return [
            key
            for key, loss in self._losses.items()
            if fingerprint in loss.fingerprints
        ]

    def _remove_expired(self, now: Milliseconds) -> None:
        oldest = now - self._settings.retention
        for key, loss in list(self._losses.items()):
            if loss.detected_at <= oldest:
                self._losses.pop(key)
                self._causes = None


def _find_sole_suspects(losses: list[set[str]], minimum: int) -> set[str]:
    """Return fingerprints that are the only repeated suspect of a loss.

    If two fingerprints were in flight together in all their losses, the cause
    cannot be determined. Both remain suspects and run on different endpoints.
    """
    repeated = _get_repeated(losses, minimum)
    sole = [in_flight & repeated for in_flight in losses]
    return {min(found) for found in sole if len(found) == 1}


def _get_repeated(losses: list[set[str]], minimum: int) -> set[str]:
    """Return the fingerprints that are in at least ``minimum`` losses."""
    counts = Counter(itertools.chain.from_iterable(losses))
    return {
        fingerprint for fingerprint, count in counts.items() if count >= minimum
    }


def _compile_evidence(key: _LossKey, loss: _Loss) -> list[Evidence]:
    endpoint_id, boot_id = key
    return [
        Evidence(
            endpoint_id,
            boot_id,
            fingerprint,
            is_crash=loss.is_crash,
        )
        for fingerprint in sorted(loss.fingerprints)
    ]
