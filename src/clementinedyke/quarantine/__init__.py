"""Detection of requests that crash the endpoints that run them."""

from clementinedyke.quarantine.core import (
    EndpointAnswered,
    EndpointLost,
    Evidence,
    EvidenceReceived,
    QuarantineCore,
    QuarantineSettings,
    RequestEnded,
    RequestStarted,
    ShareEvidence,
    Verdict,
)
from clementinedyke.quarantine.fingerprint import compute_fingerprint

__all__ = (
    'EndpointLost',
    'EndpointAnswered',
    'Evidence',
    'EvidenceReceived',
    'QuarantineCore',
    'QuarantineSettings',
    'RequestEnded',
    'RequestStarted',
    'ShareEvidence',
    'Verdict',
    'compute_fingerprint',
)
