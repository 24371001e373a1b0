"""Requests that crash the endpoints that run them."""

from clementinedyke.quarantine.core import (
    EndpointLost,
    EndpointSeen,
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
    'EndpointSeen',
    'Evidence',
    'EvidenceReceived',
    'QuarantineCore',
    'QuarantineSettings',
    'RequestEnded',
    'RequestStarted',
    'ShareEvidence',
    'Verdict',
)
