"""Counts the requests of each customer that began in a usage window."""

from collections import Counter

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.wall_time import WallTime

#: Windows that are kept: reports are due two windows after the end.
_RETAINED_WINDOWS = 12


class UsageCounter:
    """Counts of this daemon by number of the window."""

    def __init__(
        self, wall_time: WallTime, window_length: Milliseconds
    ) -> None:
        """Create an empty counter.

        :param wall_time: true time.
        :param window_length: length of a window in milliseconds.
        """
        self._wall_time = wall_time
        self._length = window_length
        self._counts: dict[int, Counter[str]] = {}

    @property
    def window(self) -> int:
        """Number of the present window."""
        return self._wall_time.get_unix() // self._length

    def count_request(self, customer: str | None) -> None:
        """Count a request that has just begun to run.

        :param customer: its customer, None on a route without keys.
        """
        if customer is not None:
            self._open_window()[customer] += 1

    def list_windows(self) -> list[int]:
        """Return the windows that are kept, the present one last."""
        self._open_window()
        return sorted(self._counts)

    def get_counts(self, window: int) -> dict[str, int]:
        """Return the requests by customer that began in a window.

        :param window: number of the window.
        """
        return dict(self._counts.get(window, {}))

    def _open_window(self) -> Counter[str]:
        window = self.window
        if window not in self._counts:
            self._counts = {
                number: counts
                for number, counts in self._counts.items()
                if number > window - _RETAINED_WINDOWS
            }
        return self._counts.setdefault(window, Counter())
