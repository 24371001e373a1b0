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
)
