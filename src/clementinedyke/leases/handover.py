"""Detection of former lease holders that have ended."""

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.types import FormerHolder, Identity


class HandoverCore:
    """Decides when a former holder is removed from the ``unreleased`` list.

    After the proof that a process ended, a further wait lets the TCP user
    timeout drop the bytes that it left in the send buffer of a kernel.
    """

    def __init__(
        self, identity: Identity, wait: Milliseconds, host_lag: Milliseconds
    ) -> None:
        """Create a core without any proof.

        :param identity: identity of the process that runs the core.
        :param wait: wait after a proof in milliseconds.
        :param host_lag: maximum staleness of the host list in milliseconds.
        """
        self._identity = identity
        self._wait = wait
        self._host_lag = host_lag
        self._known_hosts: set[str] = set()
        self._absent_hosts: set[str] = set()
        self._dead_incarnations: set[str] = set()
        self._proved_at: dict[FormerHolder, Milliseconds] = {}

    def record_hosts(
        self,
        hosts: frozenset[str],
        asked_at: Milliseconds,
        held_since: Milliseconds | None,
    ) -> None:
        """Update the absent hosts from the host list.

        The absence of a host proves that its processes ended only if this
        process has seen the host on the list before: a new host may not be
        listed yet.

        :param hosts: names of live and leaving hosts.
        :param asked_at: time just before the list was requested.
        :param held_since: time at which this process learned that it holds the
            lease, None if it does not hold it. A list that may date from
            before that time proves nothing: the host may have been absent,
            returned and started the former holder.
        """
        self._absent_hosts -= hosts
        if held_since is not None and asked_at >= held_since + self._host_lag:
            self._absent_hosts |= self._known_hosts - hosts
        self._known_hosts |= hosts

    def record_death(self, incarnation: str) -> None:
        """Record an operator's confirmation that a process has ended.

        :param incarnation: run of the process that ended.
        """
        self._dead_incarnations.add(incarnation)

    def start_tenure(self) -> None:
        """Discard absences and running waits of the previous tenure."""
        self._absent_hosts.clear()
        self._proved_at.clear()

    def is_replaced(self, former: Identity) -> bool:
        """Return whether this process has bound the address of a former one.

        Only one process can bind an address, so the former one has ended.

        :param former: identity of the former process.
        """
        return (
            former.host == self._identity.host
            and former.address == self._identity.address
            and former.incarnation != self._identity.incarnation
        )

    def mark_replaced(
        self, unreleased: tuple[FormerHolder, ...]
    ) -> tuple[FormerHolder, ...]:
        """Return the former holders, with those replaced marked as proved.

        :param unreleased: former holders in the row.
        """
        return tuple(
            FormerHolder(
                entry.identity,
                entry.fence,
                entry.proved or self.is_replaced(entry.identity),
            )
            for entry in unreleased
        )

    def select_unreleased(
        self, unreleased: tuple[FormerHolder, ...], now: Milliseconds
    ) -> tuple[FormerHolder, ...]:
        """Return the former holders whose orders may still reach a target.

        :param unreleased: former holders in the row.
        :param now: current time of the lease holder in milliseconds.
        """
        for former in unreleased:
            if self._is_proved(former):
                self._proved_at.setdefault(former, now)
        return tuple(
            entry for entry in unreleased if not self._is_quiet(entry, now)
        )

    def _is_quiet(self, entry: FormerHolder, now: Milliseconds) -> bool:
        proved_at = self._proved_at.get(entry)
        return proved_at is not None and now >= proved_at + self._wait

    def _is_proved(self, entry: FormerHolder) -> bool:
        return (
            entry.proved
            or self.is_replaced(entry.identity)
            or entry.identity.host in self._absent_hosts
            or entry.identity.incarnation in self._dead_incarnations
        )


class ExpiryHandover(HandoverCore):
    """Treats the expiry of a lease as proof that its holder has ended.

    For platforms without a host list that tolerate late orders from a host
    that was suspended or disconnected.
    """

    def _is_proved(self, entry: FormerHolder) -> bool:
        return True
