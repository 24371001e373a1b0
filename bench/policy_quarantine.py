"""Connects the quarantine core to the simulation."""

from typing import Any

from bench.policy_load import Request
from clementinedyke.quarantine import core as quarantine

#: Milliseconds until the evidence of a daemon reaches the others.
EVIDENCE_LAG = 300


class QuarantineAdapter:
    """Reports the events of one daemon to its quarantine core.

    A request on a pair of engines is reported as two starts, since either
    engine may be lost.
    """

    def __init__(self, world: Any, *, is_active: bool) -> None:
        """Create an adapter.

        :param world: simulation.
        :param is_active: whether quarantine is enabled; every request is
            clear otherwise.
        """
        self._world = world
        self._is_active = is_active
        self._core = quarantine.QuarantineCore(quarantine.QuarantineSettings())
        self._boots: dict[str, str] = {}
        self._loss_times: dict[str, float] = {}

    def is_blocked(self, request: Request) -> bool:
        """Return whether the quarantine forbids to run a request now."""
        verdict = self._get_verdict(request)
        blocking = {quarantine.Verdict.HELD, quarantine.Verdict.CONVICTED}
        return verdict in blocking

    def list_excluded_engines(self, request: Request) -> frozenset[str]:
        """Return the engines on which a request must not run.

        A suspect request must not share an engine with another suspect.
        """
        if self._get_verdict(request) is not quarantine.Verdict.SUSPECT:
            return frozenset()
        fingerprint = get_fingerprint(request)
        return frozenset(
            engine.name
            for engine in self._world.fleet.get_members('chat')
            if not self._core.can_run_suspect(engine.name, fingerprint)
        )

    def handle_start(self, request: Request, endpoint_ids: set[str]) -> None:
        """Report a dispatch to the core."""
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
        """Report the end of an attempt to the core."""
        for endpoint_id in endpoint_ids:
            request_id = f'{request.number}@{endpoint_id}'
            self._handle(quarantine.RequestEnded(request_id, is_complete))

    def handle_endpoint_loss(self, endpoint_id: str) -> None:
        """Report to the core that connections to an endpoint broke."""
        self._loss_times[endpoint_id] = self._world.timeline.now
        boot_id = self._boots.get(endpoint_id, '0')
        self._handle(quarantine.EndpointLost(endpoint_id, boot_id))

    def handle_report(
        self, endpoint_id: str, boot_id: str, measured_at: float
    ) -> None:
        """Report the boot id in a load report to the core.

        :param endpoint_id: endpoint that sent the report.
        :param boot_id: id that changes with each restart of the endpoint.
        :param measured_at: time of the report in milliseconds.
        """
        # A report from before the loss would deny that the endpoint restarted.
        if measured_at <= self._loss_times.get(endpoint_id, -1):
            return
        self._boots[endpoint_id] = boot_id
        self._handle(quarantine.EndpointAnswered(endpoint_id, boot_id))

    def handle_evidence(
        self, evidence: tuple[quarantine.Evidence, ...]
    ) -> None:
        """Report evidence of another daemon to the core."""
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
    """Return the fingerprint of a request.

    Repetitions of a crashing request have the same fingerprint.
    """
    return request.crash_fingerprint or f'request-{request.number}'
