"""Quarantine of a daemon in the benchmark: the real core and its news."""

from typing import Any

from bench.policy_load import Request
from clementinedyke.quarantine import core as quarantine

EVIDENCE_LAG = 300


class QuarantineAdapter:
    """Tells the quarantine core of one daemon what happens to requests.

    A pair of engines counts as two starts, since either may be lost.
    """

    def __init__(self, world: Any, *, is_active: bool) -> None:
        """Create a guard; one that is not active clears every request."""
        self._world = world
        self._is_active = is_active
        self._core = quarantine.QuarantineCore(quarantine.QuarantineSettings())
        self._boots: dict[str, str] = {}
        self._loss_times: dict[str, float] = {}

    def is_blocked(self, request: Request) -> bool:
        """Return whether the request may not run now."""
        verdict = self._get_verdict(request)
        blocking = {quarantine.Verdict.HELD, quarantine.Verdict.CONVICTED}
        return verdict in blocking

    def list_excluded_engines(self, request: Request) -> frozenset[str]:
        """Return the engines that run another suspect."""
        if self._get_verdict(request) is not quarantine.Verdict.SUSPECT:
            return frozenset()
        fingerprint = get_fingerprint(request)
        return frozenset(
            engine.name
            for engine in self._world.fleet.get_members('chat')
            if not self._core.can_run_suspect(engine.name, fingerprint)
        )

    def handle_start(self, request: Request, endpoint_ids: set[str]) -> None:
        """Pass on a dispatch."""
        for endpoint_id in endpoint_ids:
            self._handle(
                quarantine.RequestStarted(
                    f'{request.number}@{endpoint_id}',
                    get_fingerprint(request),
                    endpoint_id,
                )
            )

    def handle_end(
        self, request: Request, endpoint_ids: set[str], *, is_complete: bool
    ) -> None:
        """Pass on the end of an attempt."""
        for endpoint_id in endpoint_ids:
            request_id = f'{request.number}@{endpoint_id}'
            self._handle(quarantine.RequestEnded(request_id, is_complete))

    def handle_endpoint_loss(self, endpoint_id: str) -> None:
        """Pass on that the connections of an endpoint broke."""
        self._loss_times[endpoint_id] = self._world.timeline.now
        boot_id = self._boots.get(endpoint_id, '0')
        self._handle(quarantine.EndpointLost(endpoint_id, boot_id))

    def handle_report(
        self, endpoint_id: str, boot_id: str, measured_at: float
    ) -> None:
        """Pass on the boot id of a load report."""
        # An older report would say that the endpoint went on running.
        if measured_at <= self._loss_times.get(endpoint_id, -1):
            return
        self._boots[endpoint_id] = boot_id
        self._handle(quarantine.EndpointAnswered(endpoint_id, boot_id))

    def handle_evidence(
        self, evidence: tuple[quarantine.Evidence, ...]
    ) -> None:
        """Take the evidence of another daemon."""
        self._handle(quarantine.EvidenceReceived(evidence))

    def _get_verdict(self, request: Request) -> quarantine.Verdict:
        now = round(self._world.timeline.now)
        if not self._is_active:
            return quarantine.Verdict.CLEAR
        return self._core.get_verdict(get_fingerprint(request), now)

    def _handle(self, event: quarantine.QuarantineEvent) -> None:
        if not self._is_active:
            return
        timeline = self._world.timeline
        for action in self._core.handle(event, round(timeline.now)):
            for daemon in self._world.daemons:
                if daemon.quarantine_adapter is not self:
                    timeline.call_at(
                        timeline.now + EVIDENCE_LAG,
                        daemon.quarantine_adapter.handle_evidence,
                        action.evidence,
                    )


def get_fingerprint(request: Request) -> str:
    """Return the same digest for each repetition of a killer."""
    return request.crash_fingerprint or f'request-{request.number}'
