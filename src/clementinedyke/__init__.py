"""Serving system for a limited fleet of model engines and plain services."""

from clementinedyke.clock import Clock, ManualClock, MonotonicClock
from clementinedyke.codes import ExecutionState, ResultCode
from clementinedyke.exceptions import ClementinedykeError

__all__ = (
    'ClementinedykeError',
    'Clock',
    'ExecutionState',
    'ManualClock',
    'MonotonicClock',
    'ResultCode',
)
