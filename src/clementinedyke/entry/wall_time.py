"""True time from a clock that may be stepped."""

import statistics
import time
from collections import deque

from clementinedyke.clock import Clock, Milliseconds

_NANOSECONDS_PER_MILLISECOND = 1_000_000
#: Samples of the difference between the two clocks, one a second: the median
#: outlasts a step of the time of day that is taken back within a minute.
_SAMPLES = 121
_SAMPLE_INTERVAL: Milliseconds = 1000


class WallTime:
    """Unix time in milliseconds as the median of many readings."""

    def __init__(self, clock: Clock) -> None:
        """Create the time from a first reading.

        :param clock: steady clock of the host.
        """
        self._clock = clock
        self._offsets: deque[int] = deque(maxlen=_SAMPLES)
        self._sampled_at: Milliseconds = 0
        self._offset = 0
        self._sample(clock.get_now())

    def get_unix(self) -> int:
        """Return Unix time in milliseconds."""
        now = self._clock.get_now()
        if now - self._sampled_at >= _SAMPLE_INTERVAL:
            self._sample(now)
        return now + self._offset

    def _sample(self, now: Milliseconds) -> None:
        self._sampled_at = now
        unix = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
        self._offsets.append(unix - now)
        self._offset = int(statistics.median_low(self._offsets))
