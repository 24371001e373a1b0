"""Proof that former holders of a lease have ended."""

from clementinedyke.clock import Milliseconds
from clementinedyke.leases.types import FormerHolder, Identity


class HandoverCore:
    """Decides when a former holder leaves the ``unreleased`` list.

    A proof starts a further wait, in which bytes that the former process left
    in a kernel's send buffer are dropped by the TCP user timeout.
    """

    def __init__(
        self, identity: Identity, wait: Milliseconds, host_lag: Milliseconds
    ) -> None:
        """Create the core.

        :param identity: the process that runs the core.
        :param wait: further wait after a proof in milliseconds.
        :param host_lag: longest time in milliseconds by which a reading of the
            host list may be out of date.
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
        """Take a reading of the host list.

        A host that this process has never seen on the list proves nothing:
        the list may not show it yet.

        :param hosts: names of live and leaving hosts.
        :param asked_at: instant before the reading was asked for.
        :param held_since: instant at which this process saw that it holds the
            lease, None if it does not hold it. A reading that may show the
            list as it was before that instant proves nothing: the host may
            have been absent, come back and started the former holder.
        """
        self._absent_hosts -= hosts
        if held_since is not None and asked_at >= held_since + self._host_lag:
            self._absent_hosts |= self._known_hosts - hosts
        self._known_hosts |= hosts

    def record_death(self, incarnation: str) -> None:
        """Take an operator's confirmation.

        :param incarnation: run of the process that has ended.
        """
        self._dead_incarnations.add(incarnation)

    def start_tenure(self) -> None:
        """Drop absences that were read under an earlier tenure."""
        self._absent_hosts.clear()
        self._proved_at.clear()

    def is_replaced(self, former: Identity) -> bool:
        """Tell whether this process has bound the address of a former one.

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
        """Mark the former holders that this process has replaced.

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
        """Return the former holders that still may have orders under way.

        :param unreleased: former holders in the row.
        :param now: current instant of the lease holder.
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
    """Takes the lapse of a lease as the proof that its holder has ended.

    Fits a platform that forgives the late orders of a host that was suspended
    or cut off, and lists no hosts.
    """

    def _is_proved(self, entry: FormerHolder) -> bool:
        return True
