"""Local view of a lease row."""

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.types import (
    FormerHolder,
    Identity,
    LeaseRow,
    LeaseTiming,
)


class RowView:
    """The last known row and its expiry by the clock of this process."""

    def __init__(self, identity: Identity, timing: LeaseTiming) -> None:
        """Create a view before the first read.

        :param identity: identity of this run of the process.
        :param timing: durations of the lease.
        """
        self._identity = identity
        self._timing = timing
        self._row: LeaseRow | None = None
        self._version = 0
        self._was_read = False
        self._seen_at: Milliseconds = 0

    @property
    def identity(self) -> Identity:
        """Identity of this run of the process."""
        return self._identity

    @property
    def row(self) -> LeaseRow | None:
        """Last known row, None if it is absent or was not read."""
        return self._row

    @property
    def version(self) -> int:
        """Version of the last known row, 0 if it is absent."""
        return self._version

    @property
    def was_read(self) -> bool:
        """Whether the row was read or written at least once."""
        return self._was_read

    @property
    def fence(self) -> int:
        """Fence in the last known row, 0 if it is absent."""
        return self._row.fence if self._row else 0

    @property
    def unreleased(self) -> tuple[FormerHolder, ...]:
        """Former holders in the last known row."""
        return self._row.unreleased if self._row else ()

    @property
    def free_at(self) -> Milliseconds:
        """Time on this clock from which the lease may be taken over."""
        if self._row is None or self._row.holder is None:
            return self._seen_at
        duration = self._row.duration * self._timing.drift_factor
        return self._seen_at + int(duration)

    @property
    def is_own(self) -> bool:
        """Whether the row names this run of the process as holder."""
        return self._row is not None and self._row.holder == self._identity

    @property
    def lists_own(self) -> bool:
        """Whether the row lists this process as a former holder."""
        return self.list_others() != self.unreleased

    def restart_observation(self, now: Milliseconds) -> None:
        """Restart the expiry wait, as renewals may have been missed.

        :param now: current time in milliseconds.
        """
        self._seen_at = now

    def is_free(self, now: Milliseconds) -> bool:
        """Return whether the lease may be acquired.

        :param now: current time in milliseconds.
        """
        if self._row is None or self._row.holder is None:
            return True
        return now >= self.free_at

    def list_unproved(self) -> list[Identity]:
        """Return other processes in the row not yet proved to have ended."""
        unproved = [
            entry.identity for entry in self.unreleased if not entry.proved
        ]
        if self._row and self._row.holder and not self.is_own:
            unproved.append(self._row.holder)
        return unproved

    def list_others(self) -> tuple[FormerHolder, ...]:
        """Return the former holders other than this process."""
        return tuple(
            entry
            for entry in self.unreleased
            if entry.identity != self._identity
        )

    def compile_unreleased(self) -> tuple[FormerHolder, ...]:
        """Return the former holders to write when this process acquires.

        Adds a current holder other than this process, as it did not
        release the lease.
        """
        entries = self.list_others()
        if self._row is None or self._row.holder is None or self.is_own:
            return entries
        return (*entries, FormerHolder(self._row.holder, self._row.fence))
