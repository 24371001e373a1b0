"""Counter of requests by customer and usage window."""

from collections import Counter

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.wall_time import WallTime

#: Number of windows held in memory. A report is due two windows after the end
#: of its window.
_RETAINED_WINDOWS = 12


class UsageCounter:
    """Counts the requests that this daemon started in each usage window.

    A window is identified by its number: Unix time divided by its length.
    """

    def __init__(
        self, wall_time: WallTime, window_length: Milliseconds
    ) -> None:
        """Create an empty counter.

        :param wall_time: source of Unix time.
        :param window_length: length of a window in milliseconds.
        """
        self._wall_time = wall_time
        self._length = window_length
        self._counts: dict[int, Counter[str]] = {}

    @property
    def window(self) -> int:
        """Number of the current window."""
        return self._wall_time.get_unix() // self._length

    @property
    def window_age(self) -> Milliseconds:
        """Time since the start of the current window."""
        return self._wall_time.get_unix() % self._length

    def count_request(self, customer: str | None) -> None:
        """Count a request that has just started in the current window.

        :param customer: customer of the request. None on a route without
            keys, where nothing is counted.
        """
        if customer is not None:
            self._open_window()[customer] += 1

    def list_windows(self) -> list[int]:
        """Return the numbers of the retained windows, the current one last."""
        self._open_window()
        return sorted(self._counts)

    def get_counts(self, window: int) -> dict[str, int]:
        """Return the number of requests by customer that started in a window.

        :param window: number of the window; empty counts if not retained.
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
