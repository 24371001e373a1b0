"""Clocks in whole milliseconds: monotonic, boot time and manual."""

import time
from typing import Protocol, TypeAlias

#: A duration, or a point in time on the clock of one process, in
#: milliseconds.
Milliseconds: TypeAlias = int

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """Source of the current time for a component."""

    def get_now(self) -> Milliseconds:
        """Return the current time in milliseconds."""


class MonotonicClock:
    """Monotonic clock, unaffected by changes of the wall clock."""

    def get_now(self) -> Milliseconds:
        """Return milliseconds since an arbitrary point in the past."""
        return time.monotonic_ns() // _NANOSECONDS_PER_MILLISECOND


class BootClock:
    """Monotonic clock that also counts time while the host is suspended.

    Leases need it: by a clock that stops during a suspension, a holder would
    believe that it holds a lease long after the lease has expired.
    """

    def get_now(self) -> Milliseconds:
        """Return milliseconds since the host booted."""
        instant = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return instant // _NANOSECONDS_PER_MILLISECOND


class ManualClock:
    """Clock that advances only when a test or a benchmark calls ``advance``."""

    def __init__(self, start: Milliseconds = 0) -> None:
        """Create the clock.

        :param start: initial time in milliseconds.
        """
        self._now = start

    def get_now(self) -> Milliseconds:
        """Return the current time in milliseconds."""
        return self._now

    def advance(self, duration: Milliseconds) -> None:
        """Advance the clock.

        :param duration: milliseconds to add, 0 or more.
        :raises ValueError: if the duration is negative.
        """
        if duration < 0:
            raise ValueError(f'cannot advance clock: {duration} ms is negative')
        self._now += duration
