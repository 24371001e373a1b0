"""Operator port: records, audit, status, request traces, metrics, health."""

from clementinedyke.operators.component import OperatorPort
from clementinedyke.operators.outcomes import (
    Attempt,
    RequestOutcome,
    WeighedEndpoint,
)
from clementinedyke.operators.providers import OperatorReports, StatusProvider

__all__ = (
    'Attempt',
    'OperatorPort',
    'OperatorReports',
    'RequestOutcome',
    'StatusProvider',
    'WeighedEndpoint',
)
