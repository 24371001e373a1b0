"""Tenure of this process and its writes that may still be applied."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.row_view import RowView
from clementinedyke.leases.types import (
    Identity,
    LeaseRow,
    LeaseTiming,
)


@dataclass(frozen=True, slots=True)
class _Attempt:
    """A write that may be applied while the row still has ``version``."""

    row: LeaseRow
    version: int
    sent_at: Milliseconds


class LeaseView(RowView):
    """Lease row, tenure of this process and its pending writes."""

    def __init__(self, identity: Identity, timing: LeaseTiming) -> None:
        """Create a view before the first read.

        :param identity: identity of this run of the process.
        :param timing: durations of the lease.
        """
        super().__init__(identity, timing)
        self._attempts: dict[str, _Attempt] = {}
        self._held_until: Milliseconds | None = None
        self._held_since: Milliseconds | None = None
        self._fence_version = 0

    @property
    def fence_version(self) -> int:
        """Version of the fence row written in this tenure, 0 if unknown."""
        return self._fence_version

    @property
    def held_since(self) -> Milliseconds | None:
        """Time at which this process learned that it holds the lease.

        None if it does not hold the lease.
        """
        return self._held_since

    @property
    def held_until(self) -> Milliseconds:
        """Expiry of the lease of this process by its clock, 0 if not held."""
        return self._held_until or 0

    @property
    def renew_at(self) -> Milliseconds:
        """Time at which this process must renew, 0 if its write is unknown."""
        attempt = self._attempts.get(self._row.nonce) if self._row else None
        return attempt.sent_at + self._timing.renew_interval if attempt else 0

    @property
    def may_name_own(self) -> bool:
        """Whether the row names this process or a pending write may do so."""
        return self.is_own or self.lists_own or bool(self._attempts)

    def is_held(self, now: Milliseconds) -> bool:
        """Return whether this process holds an unexpired lease.

        :param now: current time in milliseconds.
        """
        return self._held_until is not None and now < self._held_until

    def is_settled(self, now: Milliseconds) -> bool:
        """Return whether no pending write can still take effect.

        Writes without an answer count until the lease duration has passed.

        :param now: current time in milliseconds.
        """
        applied = self._row.nonce if self._row else ''
        return all(
            now >= attempt.sent_at + self._timing.duration
            for nonce, attempt in self._attempts.items()
            if nonce != applied
        )

    def get_written(self, nonce: str) -> LeaseRow | None:
        """Return the row of a pending write, None if there is none.

        :param nonce: nonce of the write.
        """
        attempt = self._attempts.get(nonce)
        return attempt.row if attempt else None

    def add_attempt(self, row: LeaseRow, now: Milliseconds) -> None:
        """Add a pending write before it is sent.

        :param row: row to write, with the nonce of the write.
        :param now: current time in milliseconds.
        """
        self._attempts[row.nonce] = _Attempt(row, self._version, now)

    def update_fence(self, fence: int, version: int) -> None:
        """Store the version of the fence row if it belongs to this tenure.

        :param fence: fence in the row.
        :param version: version of the row.
        """
        if self.is_own and fence == self.fence:
            self._fence_version = version

    def update_row(
        self, row: LeaseRow | None, version: int, now: Milliseconds
    ) -> None:
        """Update the view with a row that was read or written.

        Versions older than the last known one are ignored.

        :param row: lease row, None if absent.
        :param version: version of the row.
        :param now: current time in milliseconds.
        """
        if version < self._version:
            return
        if not self._was_read or _get_renewal(row) != _get_renewal(self._row):
            self._seen_at = now
        if row is None or row.fence != self.fence:
            self._fence_version = 0
        self._was_read = True
        self._row = row
        self._version = version
        self._drop_attempts()
        if self.is_own:
            self._hold(now)
        elif self._held_until is not None:
            # Taken over early: a clock exceeded the drift factor.
            self._held_until = now

    def expire(self, now: Milliseconds) -> bool:
        """End the tenure if it has expired and return whether it has.

        :param now: current time in milliseconds.
        """
        if self._held_until is None or now < self._held_until:
            return False
        self._held_until = None
        self._held_since = None
        return True

    def _drop_attempts(self) -> None:
        """Drop pending writes that can no longer be applied.

        A write is conditional on the version that it is based on, so it fails
        once the row has a higher version.
        """
        nonce = self._row.nonce if self._row else ''
        self._attempts = {
            key: attempt
            for key, attempt in self._attempts.items()
            if key == nonce or attempt.version >= self._version
        }

    def _hold(self, now: Milliseconds) -> None:
        attempt = self._attempts.get(self._row.nonce) if self._row else None
        if attempt is None:
            return
        held_until = attempt.sent_at + attempt.row.duration
        if now >= held_until:
            return
        self._held_until = held_until
        if self._held_since is None:
            self._held_since = now


def _get_renewal(row: LeaseRow | None) -> tuple[object, ...] | None:
    """Return the fields that a renewal changes and a list rewrite does not."""
    if row is None:
        return None
    return row.holder, row.fence, row.count
