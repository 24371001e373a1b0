"""Time in whole milliseconds, real or driven by a test."""

import time
from typing import Protocol, TypeAlias

#: A duration, or an instant on one process's own clock, in milliseconds.
Milliseconds: TypeAlias = int

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """Source of the current time for a component."""

    def get_now(self) -> Milliseconds:
        """Return the current instant in milliseconds."""


class MonotonicClock:
    """Clock of the running process; unaffected by wall-clock changes."""

    def get_now(self) -> Milliseconds:
        """Return milliseconds since an arbitrary point in the past."""
        return time.monotonic_ns() // _NANOSECONDS_PER_MILLISECOND


class BootClock:
    """Clock of a host that goes on while the host is suspended.

    A lease that is checked against a clock that stands still during a
    suspension would seem to be held long after it has lapsed.
    """

    def get_now(self) -> Milliseconds:
        """Return milliseconds since the host was started."""
        instant = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return instant // _NANOSECONDS_PER_MILLISECOND


class ManualClock:
    """Clock that moves only when a test or a benchmark advances it."""

    def __init__(self, start: Milliseconds = 0) -> None:
        """Create the clock.

        :param start: first instant in milliseconds.
        """
        self._now = start

    def get_now(self) -> Milliseconds:
        """Return the current instant in milliseconds."""
        return self._now

    def advance(self, duration: Milliseconds) -> None:
        """Move the clock forward.

        :param duration: milliseconds to add; must not be negative.
        :raises ValueError: if the duration is negative.
        """
        if duration < 0:
            raise ValueError(f'duration {duration} ms is negative')
        self._now += duration
