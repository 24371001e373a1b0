"""Authority over the duties, as one lease gives it."""

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.usage_duty import compile_fence_condition
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.types import Fencing
from clementinedyke.rows import Condition

#: Scope of the one lease over all duties.
DUTIES_SCOPE = 'duties'
#: A call is sent only if the lease lasts this much longer: a call takes a few
#: milliseconds to arrive, more from a slow host.
_SEND_MARGIN: Milliseconds = 300
#: Calls of a former holder arrive within this time after its lease: they go
#: over connections of their own and the send margin is left besides.
_CALL_ARRIVAL_TIME: Milliseconds = 700
#: What a host waits beyond the lease time before it takes its turn again.
_REACQUIRE_MARGIN: Milliseconds = 300


class DutyLease:
    """Tells whether this daemon may act, and under which fence.

    The platform doesn't check fences: it takes a call that comes behind one
    of a later holder, or holders that take turns within the lease time, as
    two holders at once. A new holder therefore waits until the calls of the
    former one have arrived, and longer if its own host may have acted before.
    """

    def __init__(
        self,
        core: LeaseCore,
        host: str,
        clock: Clock,
        lease_duration: Milliseconds,
        journal: Journal,
    ) -> None:
        """Create the authority over a lease.

        :param core: lease of the duties.
        :param host: name of this host, under which it acts.
        :param clock: clock of the host.
        :param lease_duration: time that a lease lasts without renewal.
        :param journal: log of duties gained and lost.
        """
        self._core = core
        self._host = host
        self._clock = clock
        self._journal = journal
        self._reacquire_delay = lease_duration + _REACQUIRE_MARGIN
        self._fence_version = 0
        self._authorized_from: Milliseconds = 0
        #: An earlier run on this host may have acted until it ended.
        self._last_authorized_at = clock.get_now()

    @property
    def fence(self) -> int:
        """Fence as last seen."""
        return self._core.fence

    @property
    def fence_condition(self) -> Condition:
        """Condition of a write that only the holder may make."""
        return compile_fence_condition(DUTIES_SCOPE, self._core.fence_version)

    def get_authority(self) -> Authority | None:
        """Return the authority to make a call now, None without it."""
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
            self._authorized_from = now
            if self._core.fence > 1:
                self._authorized_from = max(
                    now + _CALL_ARRIVAL_TIME,
                    self._last_authorized_at + self._reacquire_delay,
                )
        self._fence_version = version
