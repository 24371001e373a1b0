"""Recognises requests that crash the endpoints that run them.

Each loss of an endpoint is evidence against the fingerprints in flight on it.
The evidence of all daemons is merged, so a caller that repeats its request
through another daemon meets the same verdict.
"""

import enum
import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds

#: Losses of endpoints after which a fingerprint may be convicted.
_LOSSES_TO_CONVICT = 2


class Verdict(enum.Enum):
    """What may be done with a request."""

    #: Run it anywhere.
    CLEAR = 'clear'
    #: Run it after its hold, on an endpoint that runs no other suspect.
    SUSPECT = 'suspect'
    #: Refuse it for now: the loss of an endpoint is still being examined.
    HELD = 'held'
    #: Refuse it.
    CONVICTED = 'convicted'


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was dispatched to an endpoint."""

    request_id: str
    fingerprint: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request ended; ``is_whole`` if its whole answer arrived."""

    request_id: str
    is_complete: bool


@dataclass(frozen=True, slots=True)
class EndpointLost:
    """Connections of an endpoint broke while requests ran there."""

    endpoint_id: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """An endpoint answered under a boot id.

    ``asked_at`` is the time in milliseconds at which it was asked.
    """

    endpoint_id: str
    boot_id: str
    requested_at: Milliseconds


@dataclass(frozen=True, slots=True)
class Evidence:
    """A fingerprint was in flight when an endpoint was lost.

    ``is_crash`` tells whether the endpoint came back under another boot id.
    """

    endpoint_id: str
    boot_id: str
    fingerprint: str
    is_crash: bool


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Another daemon shared its evidence."""

    evidence: tuple[Evidence, ...]


@dataclass(frozen=True, slots=True)
class ShareEvidence:
    """Share evidence with the other daemons and store it."""

    evidence: tuple[Evidence, ...]


QuarantineEvent = (
    RequestStarted
    | RequestEnded
    | EndpointLost
    | EndpointAnswered
    | EvidenceReceived
)


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Bounds of the quarantine.

    ``settle_time``: wait until the evidence about a loss is with all daemons.
    ``retention``: time after which evidence is forgotten.
    """

    settle_time: Milliseconds = 1500
    retention: Milliseconds = 3600000
    max_losses: int = 1000


@dataclass(slots=True)
class _Loss:
    seen_at: Milliseconds
    is_crash: bool = False
    fingerprints: set[str] = field(default_factory=set)


_LossKey = tuple[str, str]


class QuarantineCore:
    """Verdicts of one daemon over request fingerprints."""

    def __init__(self, settings: QuarantineSettings) -> None:
        """Create the core.

        :param settings: bounds.
        """
        self._settings = settings
        self._running: dict[str, RequestStarted] = {}
        self._losses: dict[_LossKey, _Loss] = {}
        self._acquitted: dict[str, set[_LossKey]] = defaultdict(set)
        #: Fingerprints that explain losses; None after a change of either.
        self._blamed: set[str] | None = None

    def get_verdict(self, fingerprint: str, now: Milliseconds) -> Verdict:
        """Return what may be done with a request.

        :param fingerprint: digest of customer, service and body.
        :param now: current time in milliseconds.
        """
        self._forget_old(now)
        losses = self._get_losses(fingerprint)
        if not losses:
            return Verdict.CLEAR
        blamed = self._get_blamed()
        if fingerprint not in blamed:
            losses = [loss for loss in losses if not loss.fingerprints & blamed]
        if len(losses) < _LOSSES_TO_CONVICT:
            return Verdict.SUSPECT
        if self.get_hold(fingerprint, now):
            return Verdict.HELD
        if fingerprint not in blamed:
            return Verdict.SUSPECT
        is_proven = all(loss.is_crash for loss in losses)
        return Verdict.CONVICTED if is_proven else Verdict.HELD

    def get_hold(self, fingerprint: str, now: Milliseconds) -> Milliseconds:
        """Return how long the newest loss is still being examined.

        Until then other daemons do not know of the loss, and this one does
        not know who else was aboard; a try would cost another endpoint. A
        suspect waits for so long before each try.

        :param fingerprint: digest of customer, service and body.
        :param now: current time in milliseconds.
        """
        seen = [loss.seen_at for loss in self._get_losses(fingerprint)]
        if not seen:
            return 0
        return max(0, max(seen) + self._settings.settle_time - now)

    def can_run_suspect(self, endpoint_id: str, fingerprint: str) -> bool:
        """Tell whether a suspect may run on an endpoint.

        :param endpoint_id: endpoint that would run it.
        :param fingerprint: fingerprint of the suspect.
        """
        return not any(
            started.endpoint_id == endpoint_id
            and started.fingerprint != fingerprint
            and self._get_losses(started.fingerprint)
            for started in self._running.values()
        )

    def list_excluded_endpoints(
        self, fingerprint: str, endpoint_ids: Iterable[str], now: Milliseconds
    ) -> frozenset[str]:
        """Return the endpoints on which a request may not run now.

        The hold of all suspects of a loss ends at the same time, also at
        other daemons. Each suspect gets its own part of the endpoints, so
        that a second loss tells them apart; more suspects than endpoints
        take turns.

        :param fingerprint: digest of customer, service and body.
        :param endpoint_ids: endpoints that could run it.
        :param now: current time in milliseconds.
        """
        candidates = set(endpoint_ids)
        keys = self._get_open_keys(fingerprint)
        if not keys:
            return frozenset()
        barred = {
            endpoint_id
            for endpoint_id in candidates
            if not self.can_run_suspect(endpoint_id, fingerprint)
        }
        newest = max(keys, key=lambda key: self._losses[key].seen_at)
        # All daemons must come to the same parts; older losses may be open
        # at one of them only.
        free = sorted(candidates - {newest[0]})
        if free:
            own = self._list_part(fingerprint, newest, free, now)
            barred |= candidates - own
        return frozenset(barred)

    def handle(
        self, event: QuarantineEvent, now: Milliseconds
    ) -> list[ShareEvidence]:
        """Return the evidence to share after an event.

        :param event: what happened.
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
    def _start(
        self, event: RequestStarted, now: Milliseconds
    ) -> list[Evidence]:
        self._running[event.request_id] = event
        return []

    @_apply.register
    def _end(self, event: RequestEnded, now: Milliseconds) -> list[Evidence]:
        started = self._running.pop(event.request_id, None)
        if started is not None and event.is_complete:
            losses = self._get_loss_keys(started.fingerprint)
            if losses:
                self._acquitted[started.fingerprint].update(losses)
                self._blamed = None
        return []

    @_apply.register
    def _lose(self, event: EndpointLost, now: Milliseconds) -> list[Evidence]:
        aboard = {
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
            for fingerprint in sorted(aboard)
        ]
        return self._merge(evidence, now)

    @_apply.register
    def _see(
        self, event: EndpointAnswered, now: Milliseconds
    ) -> list[Evidence]:
        shared: list[Evidence] = []
        for key, loss in list(self._losses.items()):
            if key[0] != event.endpoint_id or loss.is_crash:
                continue
            if key[1] != event.boot_id:
                loss.is_crash = True
                shared += _compile_evidence(key, loss)
            elif event.requested_at >= loss.seen_at:
                # The endpoint went on running: its connections were cut. An
                # answer to an earlier question may be older than the loss.
                self._losses.pop(key)
                self._blamed = None
        return shared

    @_apply.register
    def _receive(
        self, event: EvidenceReceived, now: Milliseconds
    ) -> list[Evidence]:
        self._merge(event.evidence, now)
        return []

    def _merge(
        self,
        evidence: list[Evidence] | tuple[Evidence, ...],
        now: Milliseconds,
    ) -> list[Evidence]:
        """Add evidence and return what was new."""
        self._blamed = None
        fresh = [item for item in evidence if self._add(item, now)]
        while len(self._losses) > self._settings.max_losses:
            self._losses.pop(next(iter(self._losses)))
        return fresh

    def _add(self, item: Evidence, now: Milliseconds) -> bool:
        key = (item.endpoint_id, item.boot_id)
        loss = self._losses.setdefault(key, _Loss(now))
        is_new = item.fingerprint not in loss.fingerprints
        is_new = is_new or (item.is_crash and not loss.is_crash)
        loss.is_crash = loss.is_crash or item.is_crash
        loss.fingerprints.add(item.fingerprint)
        return is_new

    def _list_part(
        self,
        fingerprint: str,
        key: _LossKey,
        free: list[str],
        now: Milliseconds,
    ) -> set[str]:
        """Return a suspect's part of the endpoints, empty before its turn."""
        loss = self._losses[key]
        suspects = sorted(loss.fingerprints)
        turn, rank = divmod(suspects.index(fingerprint), len(free))
        if now < loss.seen_at + self._settings.settle_time * (1 + turn):
            return set()
        return {
            endpoint_id
            for index, endpoint_id in enumerate(free)
            if index % len(suspects) == rank
        }

    def _get_blamed(self) -> set[str]:
        if self._blamed is None:
            self._blamed = self._list_blamed()
        return self._blamed

    def _list_blamed(self) -> set[str]:
        """Return the fingerprints that explain losses of their own.

        A loss is explained by one that was blamed for earlier losses, and is
        no evidence against the others aboard.
        """
        blamed: set[str] = set()
        unexplained: list[set[str]] = []
        for aboard in self._list_repeated():
            if aboard & blamed:
                continue
            unexplained.append(aboard)
            blamed |= _find_blamed(unexplained)
            unexplained = [left for left in unexplained if not left & blamed]
        return blamed

    def _list_repeated(self) -> list[set[str]]:
        """Return the repeated suspects of each loss that has any.

        Few requests are aboard twice, so that comparing losses stays cheap.
        """
        losses = list(itertools.starmap(self._list_open, self._losses.items()))
        repeated = _get_repeated(losses)
        return [aboard & repeated for aboard in losses if aboard & repeated]

    def _list_open(self, key: _LossKey, loss: _Loss) -> set[str]:
        """Return the fingerprints aboard that were not acquitted since."""
        return {
            fingerprint
            for fingerprint in loss.fingerprints
            if key not in self._acquitted.get(fingerprint, set())
        }

    def _get_losses(self, fingerprint: str) -> list[_Loss]:
        keys = self._get_open_keys(fingerprint)
        return [self._losses[key] for key in keys]

    def _get_open_keys(self, fingerprint: str) -> list[_LossKey]:
        """Return the losses of which a request was not acquitted."""
        acquitted = self._acquitted.get(fingerprint, set())
        return [
            key
            for key in self._get_loss_keys(fingerprint)
            if key not in acquitted
        ]

    def _get_loss_keys(self, fingerprint: str) -> list[_LossKey]:
        return [
            key
            for key, loss in self._losses.items()
            if fingerprint in loss.fingerprints
        ]

    def _forget_old(self, now: Milliseconds) -> None:
        oldest = now - self._settings.retention
        for key, loss in list(self._losses.items()):
            if loss.seen_at <= oldest:
                self._losses.pop(key)
                self._blamed = None


def _find_blamed(losses: list[set[str]]) -> set[str]:
    """Return the fingerprints that are the only repeated one of a loss.

    Two that were lost together twice cannot be told apart; both stay
    suspects and run on different endpoints from then on.
    """
    repeated = _get_repeated(losses)
    sole = [aboard & repeated for aboard in losses]
    return {min(found) for found in sole if len(found) == 1}


def _get_repeated(losses: list[set[str]]) -> set[str]:
    counts = Counter(itertools.chain.from_iterable(losses))
    return {
        fingerprint
        for fingerprint, count in counts.items()
        if count >= _LOSSES_TO_CONVICT
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
