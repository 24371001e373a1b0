"""Selection of the next platform call for one lease."""

import random

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.handover import HandoverCore
from clementinedyke.leases.messages import (
    CloseOrders,
    LeaseAction,
    ReadFence,
    ReadHosts,
    ReadLease,
    WriteLease,
)
from clementinedyke.leases.types import (
    FormerHolder,
    Identity,
    LeaseRow,
    LeaseTiming,
)
from clementinedyke.leases.view import LeaseView
from clementinedyke.store_revision import compile_fence

_NONCE_BITS = 64


class LeaseDecision:
    """Selects the next read or write from the last known lease row."""

    def __init__(
        self,
        identity: Identity,
        nonces: random.Random,
        timing: LeaseTiming | None = None,
        handover: HandoverCore | None = None,
    ) -> None:
        """Create a core that does not hold the lease.

        :param identity: identity of this run, with its bound address.
        :param nonces: seeded random generator for the nonces of writes.
        :param timing: durations; None for the defaults of the design page.
        :param handover: core that decides when former holders are released.
        """
        self._timing = timing or LeaseTiming()
        self._nonces = nonces
        self._view = LeaseView(identity, self._timing)
        self._handover = handover or HandoverCore(
            identity,
            self._timing.bounded_quiet_wait,
            self._timing.bounded_host_lag,
        )
        self._call_until: Milliseconds = 0
        self._next_read: Milliseconds = 0
        self._next_hosts: Milliseconds = 0
        #: Era of the store at the last read.
        self._era = 0
        self._is_candidate = False
        self._is_stopping = False
        self._is_released = False
        #: Once sent, the release may take effect at any time, even if the
        #: answer is lost.
        self._has_sent_release = False
        #: True from acquiring the lease until all order connections are
        #: closed.
        self._has_open_orders = False

    @property
    def fence(self) -> int:
        """Fence in the last known row, 0 if the row is absent."""
        return self._view.fence

    @property
    def holder(self) -> Identity | None:
        """Holder in the last known row, None if the lease is free."""
        row = self._view.row
        return row.holder if row else None

    @property
    def fence_version(self) -> int:
        """Version of the fence row written in this tenure, 0 if unknown."""
        return self._view.fence_version

    def is_held(self, now: Milliseconds) -> bool:
        """Return whether this process holds the lease by its own clock.

        :param now: current time in milliseconds.
        """
        return not self._has_sent_release and self._view.is_held(now)

    def _update_released(self, now: Milliseconds) -> None:
        """Note whether a stop has nothing left to release.

        Needs no call of the store: each row and write that names this run of
        the process is known here.
        """
        if not self._is_stopping or self._has_open_orders:
            return
        names_own = self._view.is_own or self._view.lists_own
        self._is_released = not names_own and self._view.is_settled(now)

    def _close_orders(self) -> list[LeaseAction]:
        return [CloseOrders()] if self._has_open_orders else []

    def _select_hosts_call(self, now: Milliseconds) -> list[LeaseAction]:
        if now < self._next_hosts:
            return []
        self._next_hosts = now + self._timing.host_interval
        return [ReadHosts()]

    def _select_call(self, now: Milliseconds) -> list[LeaseAction]:
        if self.is_held(now) and not self.fence_version:
            self._call_until = now + self._timing.call_timeout
            return [ReadFence()]
        if now >= self._next_read and self._needs_read(now):
            self._call_until = now + self._timing.call_timeout
            self._next_read = self._call_until
            return [ReadLease()]
        return self._select_own_write(now) if self._view.is_own else []

    def _needs_read(self, now: Milliseconds) -> bool:
        if self.is_held(now) or self._is_candidate or self._is_stopping:
            return True
        if self._has_open_orders or not self._view.was_read:
            return True
        return self._view.may_name_own or any(
            self._handover.is_replaced(identity)
            for identity in self._view.list_unproved()
        )

    def _select_write(self, now: Milliseconds) -> list[LeaseAction]:
        if self._view.is_own:
            return self._select_own_write(now)
        if self._has_open_orders:
            return []
        if self._view.lists_own:
            return self._rewrite(self._view.list_others(), now)
        if self._is_stopping:
            self._update_released(now)
            return []
        if self._is_candidate and self._view.is_free(now):
            return self._acquire(now)
        return self._mark_replaced(now)

    def _select_own_write(self, now: Milliseconds) -> list[LeaseAction]:
        row = self._view.row
        if row is None:
            return []
        if self._has_open_orders and (
            self._is_stopping or not self.is_held(now)
        ):
            return []
        if self._is_stopping:
            self._has_sent_release = True
            return self._write(msgspec.structs.replace(row, holder=None), now)
        left = self._handover.select_unreleased(row.unreleased, now)
        if left == row.unreleased and now < self._view.renew_at:
            return []
        return self._write(
            msgspec.structs.replace(row, count=row.count + 1, unreleased=left),
            now,
        )

    def _acquire(self, now: Milliseconds) -> list[LeaseAction]:
        successor = LeaseRow(
            holder=self._view.identity,
            fence=compile_fence(self._era, self.fence),
            count=0,
            duration=self._timing.duration,
            nonce='',
            unreleased=self._handover.mark_replaced(
                self._view.compile_unreleased()
            ),
        )
        return self._write(successor, now, raises_fence=True)

    def _mark_replaced(self, now: Milliseconds) -> list[LeaseAction]:
        marked = self._handover.mark_replaced(self._view.unreleased)
        return (
            []
            if marked == self._view.unreleased
            else self._rewrite(marked, now)
        )

    def _rewrite(
        self, unreleased: tuple[FormerHolder, ...], now: Milliseconds
    ) -> list[LeaseAction]:
        """Replace only the unreleased list in the row of another process."""
        row = self._view.row
        if row is None:
            return []
        self._call_until = now + self._timing.call_timeout
        changed = msgspec.structs.replace(row, unreleased=unreleased)
        self._next_read = self._call_until
        return [WriteLease(changed, self._view.version, raises_fence=False)]

    def _write(
        self, row: LeaseRow, now: Milliseconds, *, raises_fence: bool = False
    ) -> list[LeaseAction]:
        nonce = f'{self._nonces.getrandbits(_NONCE_BITS):016x}'
        written = msgspec.structs.replace(row, nonce=nonce)
        self._view.add_attempt(written, now)
        self._call_until = now + self._timing.call_timeout
        self._next_read = self._call_until
        return [WriteLease(written, self._view.version, raises_fence)]

    def _update_row(
        self, row: LeaseRow | None, version: int, now: Milliseconds
    ) -> None:
        self._view.update_row(row, version, now)
        if self.is_held(now):
            self._next_read = self._view.held_until
            if not self._has_open_orders and not self._is_stopping:
                self._has_open_orders = True
                self._handover.start_tenure()
        elif not self._view.is_own:
            self._next_read = min(self._next_read, self._view.free_at)
