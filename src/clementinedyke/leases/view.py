"""Tenure of a lease and the writes that may still take effect."""

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
    """A write that may take effect as long as the row has its version."""

    row: LeaseRow
    version: int
    sent_at: Milliseconds


class LeaseView(RowView):
    """The row, the own tenure, and writes without an answer."""

    def __init__(self, identity: Identity, timing: LeaseTiming) -> None:
        """Create a view that has seen nothing.

        :param identity: this run of the process.
        :param timing: durations of the lease.
        """
        super().__init__(identity, timing)
        self._attempts: dict[str, _Attempt] = {}
        self._held_until: Milliseconds | None = None
        self._held_since: Milliseconds | None = None
        self._fence_version = 0

    @property
    def fence_version(self) -> int:
        """Version of the fence row of the own tenure, 0 if unknown."""
        return self._fence_version

    @property
    def held_since(self) -> Milliseconds | None:
        """When this process saw that it holds the lease."""
        return self._held_since

    @property
    def held_until(self) -> Milliseconds:
        """Expiry of the own lease on the own clock, 0 if not held."""
        return self._held_until or 0

    @property
    def renew_at(self) -> Milliseconds:
        """When the own lease is due for a renewal."""
        attempt = self._attempts.get(self._row.nonce) if self._row else None
        return attempt.sent_at + self._timing.renew_interval if attempt else 0

    @property
    def may_name_own(self) -> bool:
        """Whether the row names this process or may come to name it."""
        return self.is_own or self.lists_own or bool(self._attempts)

    def is_held(self, now: Milliseconds) -> bool:
        """Tell whether the own lease has not expired.

        :param now: current instant.
        """
        return self._held_until is not None and now < self._held_until

    def is_settled(self, now: Milliseconds) -> bool:
        """Tell whether no write of this process can take effect any more.

        :param now: current instant.
        """
        applied = self._row.nonce if self._row else ''
        return all(
            now >= attempt.sent_at + self._timing.duration
            for nonce, attempt in self._attempts.items()
            if nonce != applied
        )

    def get_written(self, nonce: str) -> LeaseRow | None:
        """Return the row that an attempt of this process wrote.

        :param nonce: nonce of the write.
        """
        attempt = self._attempts.get(nonce)
        return attempt.row if attempt else None

    def add_attempt(self, row: LeaseRow, now: Milliseconds) -> None:
        """Remember a write before it is sent.

        :param row: row with the nonce of the write.
        :param now: current instant.
        """
        self._attempts[row.nonce] = _Attempt(row, self._version, now)

    def update_fence(self, fence: int, version: int) -> None:
        """Take the fence row.

        :param fence: fence in the row.
        :param version: version of the row.
        """
        if self.is_own and fence == self.fence:
            self._fence_version = version

    def update_row(
        self, row: LeaseRow | None, version: int, now: Milliseconds
    ) -> None:
        """Take the row, read or written; older versions are ignored.

        :param row: row, None if absent.
        :param version: version of the row.
        :param now: current instant.
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
            # Taken over early: a clock ran faster than the drift factor allows.
            self._held_until = now

    def expire(self, now: Milliseconds) -> bool:
        """End the own tenure if it has expired; tell whether it has.

        :param now: current instant.
        """
        if self._held_until is None or now < self._held_until:
            return False
        self._held_until = None
        self._held_since = None
        return True

    def _drop_attempts(self) -> None:
        """Drop writes that can no longer take effect.

        A write demands the version that it was based on, so that a row with a
        higher version refuses it.
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
    """Return what changes with each renewal, and with nothing else."""
    if row is None:
        return None
    return row.holder, row.fence, row.count
