"""Decision core of the lease of one scope."""

from functools import singledispatchmethod

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.decision import LeaseDecision
from clementinedyke.leases.messages import (
    DeathConfirmed,
    FenceRead,
    HostsRead,
    LeaseAction,
    LeaseCallFailed,
    LeaseEvent,
    LeaseRead,
    LeaseTick,
    LeaseWritten,
    OrdersClosed,
    StopRequested,
)
from clementinedyke.leases.types import Fencing, FormerHolder
from clementinedyke.store_revision import get_fence_era


class LeaseCore(LeaseDecision):
    """Acquires, renews and releases the lease of one scope."""

    @property
    def unreleased(self) -> tuple[FormerHolder, ...]:
        """Former holders whose orders may still reach a target."""
        return self._view.unreleased

    @property
    def is_released(self) -> bool:
        """Whether a requested stop has released all that this process held."""
        return self._is_released

    def may_order(self, fencing: Fencing, now: Milliseconds) -> bool:
        """Return whether orders may be sent to targets of a fencing mode.

        Targets that ignore the fence may be sent orders only when no former
        holder is unreleased.

        :param fencing: whether the targets check the fence.
        :param now: current time in milliseconds.
        """
        if self._is_stopping or not self.fence_version or not self.is_held(now):
            return False
        return fencing is Fencing.CHECKED or not self.unreleased

    @singledispatchmethod
    def handle(self, event: LeaseEvent, now: Milliseconds) -> list[LeaseAction]:
        """Process an event and return the actions to execute.

        :param event: event to process.
        :param now: current time in milliseconds.
        :raises NotImplementedError: if the event type has no handler.
        """
        raise NotImplementedError(type(event).__name__)

    @handle.register
    def _handle_tick(
        self, event: LeaseTick, now: Milliseconds
    ) -> list[LeaseAction]:
        self._is_candidate = event.is_candidate
        if self._view.expire(now):
            return self._close_orders()
        self._update_released(now)
        if now < self._call_until or self._is_released:
            return []
        return [*self._select_hosts_call(now), *self._select_call(now)]

    @handle.register
    def _handle_lease_read(
        self, event: LeaseRead, now: Milliseconds
    ) -> list[LeaseAction]:
        self._call_until = now
        self._next_read = now + self._timing.renew_interval
        self._era = event.era
        row = event.row
        if row is not None and get_fence_era(row.fence) < event.era:
            # The store may have lost a later holder than the one in the row.
            row = msgspec.structs.replace(row, holder=None)
        self._update_row(row, event.version, now)
        return self._select_write(now)

    @handle.register
    def _handle_lease_written(
        self, event: LeaseWritten, now: Milliseconds
    ) -> list[LeaseAction]:
        self._call_until = now
        row = self._view.get_written(event.nonce)
        if row is None:
            self._next_read = now
            return []
        self._update_row(row, event.revision, now)
        if row.count == 0:
            self._view.update_fence(row.fence, event.revision)
        self._update_released(now)
        return []

    @handle.register
    def _handle_call_failed(
        self, event: LeaseCallFailed, now: Milliseconds
    ) -> list[LeaseAction]:
        self._call_until = now
        self._next_read = now
        if self._timing.restarts_observation:
            self._view.restart_observation(now)
        return []

    @handle.register
    def _handle_fence_read(
        self, event: FenceRead, now: Milliseconds
    ) -> list[LeaseAction]:
        self._call_until = now
        self._view.update_fence(event.fence, event.version)
        return []

    @handle.register
    def _handle_hosts_read(
        self, event: HostsRead, now: Milliseconds
    ) -> list[LeaseAction]:
        self._handover.record_hosts(
            event.hosts, event.asked_at, self._view.held_since
        )
        return []

    @handle.register
    def _handle_death_confirmed(
        self, event: DeathConfirmed, now: Milliseconds
    ) -> list[LeaseAction]:
        self._handover.record_death(event.incarnation)
        return []

    @handle.register
    def _handle_orders_closed(
        self, event: OrdersClosed, now: Milliseconds
    ) -> list[LeaseAction]:
        if self._is_stopping or not self.is_held(now):
            self._has_open_orders = False
        self._next_read = now
        self._update_released(now)
        return []

    @handle.register
    def _handle_stop_requested(
        self, event: StopRequested, now: Milliseconds
    ) -> list[LeaseAction]:
        self._is_stopping = True
        self._next_read = now
        self._update_released(now)
        return self._close_orders()
