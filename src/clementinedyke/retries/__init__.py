"""Decides whether and when a failed request is retried."""

from clementinedyke.retries.core import (
    AttemptFailed,
    AttemptSucceeded,
    GiveUp,
    GiveUpReason,
    Retry,
    RetryCore,
    RetryLimits,
)

__all__ = (
    'AttemptFailed',
    'AttemptSucceeded',
    'GiveUp',
    'GiveUpReason',
    'Retry',
    'RetryCore',
    'RetryLimits',
)
