"""What is known of the sums of usage windows, in one process and in the store.

A sum is stored before it is reported. The store may return from a copy that
lacks it, and a second sum could have another figure. Two facts exclude that:

* A window is summed in one era of the store only. The row of the era tells
  which windows may be summed in it: those that had not ended when it began,
  and those of which a holder knows that no one has summed them.
* Daemons that know a sum write it again after the return.
"""

from collections.abc import Iterable

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.rows import ABSENT

WINDOWS_TABLE = 'usage_windows'
#: Key of the row of the era; windows have their number as key.
ERA_KEY = 'era'
#: A window that ends within this time counts as ended when the row of an era is
#: written. With the time for which parts settle, the clocks of two hosts may
#: differ by 2 s, as far as the users' hosts step theirs.
ERA_MARGIN: Milliseconds = 1000


class WindowSum(msgspec.Struct, frozen=True):
    """Total counts of a window, stored before they are first reported."""

    counts: dict[str, int]
    is_reported: bool = False


class EraRow(msgspec.Struct, frozen=True):
    """Windows that may be summed in an era of the store.

    These are ``first_window`` and later ones, and ``open_windows``.
    """

    era: int
    first_window: int
    open_windows: tuple[int, ...] = ()

    def may_sum(self, window: int) -> bool:
        """Return whether no earlier era can have a sum of a window.

        :param window: number of the window.
        """
        return window >= self.first_window or window in self.open_windows

    def open(self, windows: Iterable[int]) -> 'EraRow':
        """Return the row with further windows that no one has summed.

        :param windows: numbers of the windows.
        """
        added = {item for item in windows if item < self.first_window}
        opened = sorted(added.union(self.open_windows))
        return EraRow(self.era, self.first_window, tuple(opened))


class WindowLedger:
    """Sums that this daemon knows, and windows without one.

    A sum stays true for ever. That a window has none holds as long as the
    tenure in which it was found, since only the holder of the duties sums.
    """

    def __init__(self) -> None:
        """Create a ledger that knows nothing."""
        self._sums: dict[int, WindowSum] = {}
        self._unsummed: set[int] = set()
        #: Sums that were written in this tenure without a known outcome.
        self._attempts: dict[int, WindowSum] = {}
        #: Version of the fence in the tenure, ``ABSENT`` without one.
        self._tenure = ABSENT
        #: Newest window of the last complete check in this tenure.
        self._checked_to: int | None = None

    def begin_tenure(self, fence_version: int) -> None:
        """Forget which windows have no sum, unless the tenure goes on.

        :param fence_version: version of the fence of the tenure.
        """
        if fence_version != self._tenure:
            self.end_tenure()
            self._tenure = fence_version

    def end_tenure(self) -> None:
        """Forget which windows have no sum: another daemon may sum them."""
        self._tenure = ABSENT
        self._checked_to = None
        self._unsummed.clear()
        self._attempts.clear()

    def is_unsummed(self, window: int) -> bool:
        """Return whether a window was found without a sum in this tenure.

        :param window: number of the window.
        """
        return window in self._unsummed

    def record_sum(self, window: int, summed: WindowSum) -> None:
        """Record the sum that the store has of a window.

        :param window: number of the window.
        :param summed: its sum.
        """
        self._sums[window] = summed
        self._attempts.pop(window, None)
        self._unsummed.discard(window)

    def record_unsummed(self, window: int) -> None:
        """Record that the store has no sum of a window.

        :param window: number of the window.
        """
        self._unsummed.add(window)
        self._attempts.pop(window, None)

    def record_attempt(self, window: int, summed: WindowSum) -> None:
        """Record that a sum is written, whose outcome is not known yet.

        :param window: number of the window.
        :param summed: its sum.
        """
        self._unsummed.discard(window)
        self._attempts[window] = summed

    def keep_attempts(self) -> None:
        """Take sums of unknown outcome for stored.

        For a holder at the end of an era: no one else can have stored another
        sum or reported one.
        """
        for window, summed in tuple(self._attempts.items()):
            self.record_sum(window, summed)

    def record_check(self, newest: int) -> None:
        """Record that all settled windows were looked up in this tenure.

        :param newest: number of the newest one.
        """
        self._checked_to = newest

    def list_sums(self) -> list[tuple[int, WindowSum]]:
        """Return the known sums with the numbers of their windows."""
        return sorted(self._sums.items())

    def list_open(self, oldest: int, end: int) -> list[int]:
        """Return the windows of a range that no one has summed.

        Windows after the last check are among them: only this daemon could
        have summed them since.

        :param oldest: number of the first window.
        :param end: number after that of the last window.
        """
        checked_to = self._checked_to
        if checked_to is None:
            return []
        return [
            window
            for window in range(oldest, end)
            if window not in self._sums
            and (window > checked_to or window in self._unsummed)
        ]

    def remove_old(self, oldest: int) -> None:
        """Forget windows that are no longer looked at.

        :param oldest: number of the first window to keep.
        """
        self._sums = {
            window: summed
            for window, summed in self._sums.items()
            if window >= oldest
        }
        self._unsummed = {item for item in self._unsummed if item >= oldest}
        for window in tuple(self._attempts):
            if window < oldest:
                self._attempts.pop(window)
