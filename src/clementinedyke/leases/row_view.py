"""What a process has seen of the row of a lease."""

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.types import (
    FormerHolder,
    Identity,
    LeaseRow,
    LeaseTiming,
)


class RowView:
    """The row as last seen, and when it expires on the own clock."""

    def __init__(self, identity: Identity, timing: LeaseTiming) -> None:
        """Create a view that has seen nothing.

        :param identity: this run of the process.
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
        """This run of the process."""
        return self._identity

    @property
    def row(self) -> LeaseRow | None:
        """Row as last seen."""
        return self._row

    @property
    def version(self) -> int:
        """Version of the row, 0 if it is absent."""
        return self._version

    @property
    def was_read(self) -> bool:
        """Whether the row was read at all."""
        return self._was_read

    @property
    def fence(self) -> int:
        """Fence of the row."""
        return self._row.fence if self._row else 0

    @property
    def unreleased(self) -> tuple[FormerHolder, ...]:
        """Former holders in the row."""
        return self._row.unreleased if self._row else ()

    @property
    def free_at(self) -> Milliseconds:
        """When another process's lease has expired on the own clock."""
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
        """Whether this process stands among the former holders."""
        return self.list_others() != self.unreleased

    def restart_observation(self, now: Milliseconds) -> None:
        """Take that renewals may have been missed until now.

        :param now: current instant.
        """
        self._seen_at = now

    def is_free(self, now: Milliseconds) -> bool:
        """Tell whether the lease may be taken over.

        :param now: current instant.
        """
        if self._row is None or self._row.holder is None:
            return True
        return now >= self.free_at

    def list_unproved(self) -> list[Identity]:
        """Return other processes whose end would have to be proved."""
        unproved = [
            entry.identity for entry in self.unreleased if not entry.proved
        ]
        if self._row and self._row.holder and not self.is_own:
            unproved.append(self._row.holder)
        return unproved

    def list_others(self) -> tuple[FormerHolder, ...]:
        """Return the former holders without this process."""
        return tuple(
            entry
            for entry in self.unreleased
            if entry.identity != self._identity
        )

    def compile_unreleased(self) -> tuple[FormerHolder, ...]:
        """Return the former holders as of a take-over by this process."""
        entries = self.list_others()
        if self._row is None or self._row.holder is None or self.is_own:
            return entries
        return (*entries, FormerHolder(self._row.holder, self._row.fence))
