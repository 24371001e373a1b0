"""Unix time that is robust against steps of the system clock."""

import statistics
import time
from collections import deque

from clementinedyke.clock import Clock, Milliseconds

_NANOSECONDS_PER_MILLISECOND = 1_000_000
#: Offsets between the system clock and the steady clock, one per second. The
#: median ignores a step of the system clock that is undone within a minute.
_MAX_SAMPLES = 121
_SAMPLE_INTERVAL: Milliseconds = 1000


class WallTime:
    """Unix time from a steady clock and the median offset to it."""

    def __init__(self, clock: Clock) -> None:
        """Take the first sample of the offset.

        :param clock: steady clock of the host.
        """
        self._clock = clock
        self._offsets: deque[int] = deque(maxlen=_MAX_SAMPLES)
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
