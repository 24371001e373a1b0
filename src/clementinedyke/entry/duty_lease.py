"""Permission to perform the duties, derived from a single lease."""

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.usage_duty import compile_fence_condition
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.types import Fencing
from clementinedyke.rows import Condition
from clementinedyke.store_revision import is_first_fence

#: Scope of the lease that covers all duties.
DUTIES_SCOPE = 'duties'
#: Remaining lease time required to send a call. A call takes a few
#: milliseconds to arrive, more from a slow host.
_SEND_MARGIN: Milliseconds = 300
#: Longest time after the end of a lease at which calls of its holder may still
#: arrive. Each call uses a connection of its own and is sent at least the send
#: margin before the lease ends.
_CALL_ARRIVAL_TIME: Milliseconds = 700
#: Time beyond the lease duration that a host waits after its last call before
#: it acts under a new tenure.
_REACQUIRE_MARGIN: Milliseconds = 300


class DutyLease:
    """Decides whether this daemon may perform duties, and with which fence.

    The platform does not check fences. A call that arrives after one of a
    later holder counts there as a second simultaneous holder, and so do
    holders that alternate within the lease duration. A new holder therefore
    waits until the calls of the former holder have arrived, and longer if its
    own host may have acted recently.
    """

    def __init__(
        self,
        core: LeaseCore,
        host: str,
        clock: Clock,
        lease_duration: Milliseconds,
        journal: Journal,
    ) -> None:
        """Create the lease of the duties in its initial state.

        :param core: decision core that acquires and renews the lease.
        :param host: name of this host, sent as the holder in calls.
        :param clock: clock of the host.
        :param lease_duration: milliseconds that a lease lasts without
            renewal.
        :param journal: log of the events duties_gained and duties_lost.
        """
        self._core = core
        self._host = host
        self._clock = clock
        self._journal = journal
        self._reacquire_delay = lease_duration + _REACQUIRE_MARGIN
        self._fence_version = 0
        self._authorized_from: Milliseconds = 0
        #: Starts at the current time: an earlier run of the daemon on this host
        #: may have acted until it ended.
        self._last_authorized_at = clock.get_now()

    @property
    def fence(self) -> int:
        """Fence last seen by this daemon."""
        return self._core.fence

    @property
    def fence_condition(self) -> Condition:
        """Condition for writes that only the current holder may make."""
        return compile_fence_condition(DUTIES_SCOPE, self._core.fence_version)

    @property
    def is_held(self) -> bool:
        """Whether no other daemon can hold the lease now."""
        now = self._clock.get_now()
        return bool(self._core.fence_version) and self._core.is_held(now)

    def get_authority(self) -> Authority | None:
        """Return the authority for a call made now, None if not permitted."""
        now = self._clock.get_now()
        self._update_tenure(now)
        may_act = self._core.may_order(Fencing.CHECKED, now + _SEND_MARGIN)
        if not may_act or now < self._authorized_from:
            return None
        self._last_authorized_at = now
        return Authority(self._host, self._core.fence)

    def _update_tenure(self, now: Milliseconds) -> None:
        version = self._core.fence_version if self._core.is_held(now) else 0
        if version != self._fence_version:
            self._journal.write(
                'duties_gained' if version else 'duties_lost',
                fence=self._core.fence,
            )
        if version and version != self._fence_version:
            self._authorized_from = self._get_first_instant(now)
        self._fence_version = version

    def _get_first_instant(self, now: Milliseconds) -> Milliseconds:
        """Return the instant from which a new tenure may act."""
        fence = self._core.fence
        if fence == 1:
            return now
        if is_first_fence(fence):
            # The former holder may not know that the store has returned from a
            # copy, and acts until its lease ends.
            return now + self._reacquire_delay + _CALL_ARRIVAL_TIME
        return max(
            now + _CALL_ARRIVAL_TIME,
            self._last_authorized_at + self._reacquire_delay,
        )
