"""Member states as seen by one daemon, and updates to gossip."""

from collections.abc import Iterator

from msgspec.structs import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import (
    Gossip,
    Member,
    MemberState,
    StateUpdates,
)
from clementinedyke.control.payloads import PayloadStore
from clementinedyke.members.events import (
    Action,
    MemberChanged,
    MembershipOptions,
    Send,
)
from clementinedyke.members.table import MemberTable
from clementinedyke.members.update_queue import UpdateQueue

#: Each update is sent this many times per doubling of the members. With 1.5
#: it reaches all of 330 daemons without a sync in all but a few of 10,000
#: cases.
_SENDS_PER_DOUBLING = 1.5
_MINIMUM_SENDS = 3


class MemberView:
    """Merges member updates and tracks suspicions.

    Suspicions of its own daemon are refuted with a higher incarnation.
    """

    def __init__(self, own: Member, options: MembershipOptions) -> None:
        """Create a view that contains only its own daemon.

        :param own: record of this daemon.
        :param options: intervals and sizes.
        """
        self.own = own
        self.table = MemberTable()
        self.payloads = PayloadStore(own, options)
        self._options = options
        self._suspicions: dict[str, Milliseconds] = {}
        self._member_updates: UpdateQueue[Member] = UpdateQueue()
        self.table.merge(own, 0)

    @property
    def has_member_updates(self) -> bool:
        """Whether member updates are queued to be sent."""
        return len(self._member_updates) > 0

    def list_neighbours(self) -> list[Member]:
        """Return the living members at ring distances 1, 2, 4 and so on."""
        return self.table.list_neighbours(self.own.daemon_id)

    def pop_updates(self) -> StateUpdates:
        """Select the updates for one message and count them as sent."""
        sends = _MINIMUM_SENDS + int(
            _SENDS_PER_DOUBLING * len(self.table.list_ring()).bit_length()
        )
        options = self._options
        return StateUpdates(
            self._member_updates.take(options.news_bytes, sends),
            self.payloads.pop_updates(),
        )

    def merge_updates(
        self, updates: StateUpdates, now: Milliseconds
    ) -> Iterator[Action]:
        """Merge updates from another daemon.

        Values of unknown daemons are ignored.

        :param updates: updates of members and published values.
        :param now: current time on the clock of the process.
        """
        for member in updates.members:
            yield from self.merge(member, now)
        for payload in updates.payloads:
            if self.table.get_member(payload.daemon_id) is not None:
                yield from self.payloads.merge(payload)

    def merge_sync(
        self, members: tuple[Member, ...], now: Milliseconds
    ) -> Iterator[Action]:
        """Merge the records of a sync, except deaths of living members.

        After a partition each side considers the other dead. Merging these
        records would briefly remove all members on both sides. Instead the
        record is sent to the member, which refutes it if it is alive;
        ``list_disputed`` lists the member to be probed.

        :param members: records of another daemon.
        :param now: current time on the clock of the process.
        """
        for member in members:
            known = self.table.get_member(member.daemon_id)
            if known is not None and self._is_disputed_death(known, member):
                yield Send(
                    known.address, Gossip(StateUpdates(members=(member,)))
                )
            else:
                yield from self.merge(member, now)

    def list_disputed(self, members: tuple[Member, ...]) -> list[Member]:
        """Return living members that another daemon considers dead.

        At most ``sync_probes`` members are returned.

        :param members: records of another daemon.
        """
        disputed = []
        for member in members:
            known = self.table.get_member(member.daemon_id)
            if known is not None and self._is_disputed_death(known, member):
                disputed.append(known)
        return disputed[: self._options.sync_probes]

    def merge(self, member: Member, now: Milliseconds) -> Iterator[Action]:
        """Store a newer record and queue it to be sent.

        Records of other regions are ignored; newer records of its own daemon
        are refuted.

        :param member: record from another daemon or this one.
        :param now: current time on the clock of the process.
        """
        if member.region != self.own.region:
            return
        if member.daemon_id == self.own.daemon_id:
            yield from self._refute(member, now)
            return
        if self.table.merge(member, now):
            self._member_updates.add(member.daemon_id, member)
            self._suspicions.pop(member.daemon_id, None)
            if member.state is MemberState.SUSPECT:
                deadline = now + self._options.suspicion_timeout
                self._suspicions[member.daemon_id] = deadline
            yield MemberChanged(member)

    def suspect(self, daemon_id: str, now: Milliseconds) -> Iterator[Action]:
        """Suspect a member that answered no probe, and notify it.

        :param daemon_id: identity of the member.
        :param now: current time on the clock of the process.
        """
        member = self.table.get_member(daemon_id)
        if member is None or member.state is not MemberState.ALIVE:
            return
        suspected = replace(member, state=MemberState.SUSPECT)
        yield from self.merge(suspected, now)
        yield Send(member.address, Gossip(StateUpdates(members=(suspected,))))

    def expire(self, now: Milliseconds) -> Iterator[Action]:
        """Mark suspects without a timely refutation as dead.

        Members that died or left more than ``forget_after`` ago are removed.

        :param now: current time on the clock of the process.
        """
        expired = [
            daemon_id
            for daemon_id, deadline in self._suspicions.items()
            if deadline <= now
        ]
        for daemon_id in expired:
            member = self.table.get_member(daemon_id)
            if member is not None:
                yield from self.merge(
                    replace(member, state=MemberState.DEAD), now
                )
        for old in self.table.remove_ended(now - self._options.forget_after):
            self.payloads.forget(old.daemon_id)

    def postpone(self, pause: Milliseconds) -> None:
        """Extend the deadlines of suspects by a pause of this process.

        :param pause: length of the pause in milliseconds.
        """
        for daemon_id in self._suspicions:
            self._suspicions[daemon_id] += pause

    def leave(self, now: Milliseconds) -> None:
        """Set the state of this daemon to ``LEFT``.

        :param now: current time on the clock of the process.
        """
        self.own = replace(self.own, state=MemberState.LEFT)
        self.table.merge(self.own, now)

    def _is_disputed_death(self, known: Member, claim: Member) -> bool:
        if known.daemon_id == self.own.daemon_id:
            return False
        is_death = known.is_living and claim.state is MemberState.DEAD
        return is_death and claim.rank > known.rank

    def _refute(self, member: Member, now: Milliseconds) -> Iterator[Action]:
        own = self.own
        refutes = self._options.refute and own.state is MemberState.ALIVE
        if not refutes or member.rank <= own.rank:
            return
        self.own = replace(own, incarnation=member.incarnation + 1)
        self.table.merge(self.own, now)
        self._member_updates.add(own.daemon_id, self.own)
        yield MemberChanged(self.own)
