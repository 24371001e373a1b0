"""What a daemon believes about the members, and news to pass on."""

from collections.abc import Iterator

from msgspec.structs import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import (
    Gossip,
    Member,
    MemberState,
    News,
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

#: Each daemon passes news on this many times per doubling of the members: 1.5
#: reaches all of 330 without the sync in all but a few of 10,000 cases.
_SENDS_PER_DOUBLING = 1.5
_MINIMUM_SENDS = 3


class MemberView:
    """Merges news, times suspicions and refutes those of this daemon."""

    def __init__(self, own: Member, options: MembershipOptions) -> None:
        """Create a view that knows only its own daemon.

        :param own: record of this daemon.
        :param options: intervals and sizes.
        """
        self.own = own
        self.table = MemberTable()
        self.payloads = PayloadStore(own, options)
        self._options = options
        self._suspicions: dict[str, Milliseconds] = {}
        self._members: UpdateQueue[Member] = UpdateQueue()
        self.table.merge(own, 0)

    @property
    def has_member_updates(self) -> bool:
        """Whether changes of members wait to be passed on."""
        return len(self._members) > 0

    def list_neighbours(self) -> list[Member]:
        """Return the living members at ring distances 1, 2, 4 and so on."""
        return self.table.list_neighbours(self.own.daemon_id)

    def take_news(self) -> News:
        """Return the news for one message."""
        sends = _MINIMUM_SENDS + int(
            _SENDS_PER_DOUBLING * len(self.table.list_ring()).bit_length()
        )
        options = self._options
        return News(
            self._members.take(options.news_bytes, sends),
            self.payloads.take_news(),
        )

    def merge_news(self, news: News, now: Milliseconds) -> Iterator[Action]:
        """Merge news that another daemon passed on.

        :param news: changes of members and values.
        :param now: current instant.
        """
        for member in news.members:
            yield from self.merge(member, now)
        for payload in news.payloads:
            if self.table.get_member(payload.daemon_id) is not None:
                yield from self.payloads.merge(payload)

    def merge_sync(
        self, members: tuple[Member, ...], now: Milliseconds
    ) -> Iterator[Action]:
        """Merge the records of a sync.

        After a partition each side holds the other for dead. Merging that
        claim would remove every member from both sides for a moment. The
        member is told instead, and refutes if it lives; ``list_doubtful``
        names it for a probe.

        :param members: records of another daemon.
        :param now: current instant.
        """
        for member in members:
            known = self.table.get_member(member.daemon_id)
            if known is not None and self._is_false_end(known, member):
                yield Send(known.address, Gossip(News(members=(member,))))
            else:
                yield from self.merge(member, now)

    def list_disputed(self, members: tuple[Member, ...]) -> list[Member]:
        """Return living members that another daemon holds for dead.

        :param members: records of another daemon.
        """
        doubtful = []
        for member in members:
            known = self.table.get_member(member.daemon_id)
            if known is not None and self._is_false_end(known, member):
                doubtful.append(known)
        return doubtful[: self._options.sync_probes]

    def merge(self, member: Member, now: Milliseconds) -> Iterator[Action]:
        """Take over a record and pass it on if it is news.

        :param member: record received or made here.
        :param now: current instant.
        """
        if member.region != self.own.region:
            return
        if member.daemon_id == self.own.daemon_id:
            yield from self._defend(member, now)
            return
        if self.table.merge(member, now):
            self._members.add(member.daemon_id, member)
            self._suspicions.pop(member.daemon_id, None)
            if member.state is MemberState.SUSPECT:
                deadline = now + self._options.suspicion_timeout
                self._suspicions[member.daemon_id] = deadline
            yield MemberChanged(member)

    def suspect(self, daemon_id: str, now: Milliseconds) -> Iterator[Action]:
        """Suspect a member that answered no probe, and tell it.

        :param daemon_id: identity of the member.
        :param now: current instant.
        """
        member = self.table.get_member(daemon_id)
        if member is None or member.state is not MemberState.ALIVE:
            return
        suspected = replace(member, state=MemberState.SUSPECT)
        yield from self.merge(suspected, now)
        yield Send(member.address, Gossip(News(members=(suspected,))))

    def expire(self, now: Milliseconds) -> Iterator[Action]:
        """Declare dead the suspects whose time to refute has passed.

        :param now: current instant.
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
        """Give suspects back the time in which this process did not run.

        :param pause: length of the pause.
        """
        for daemon_id in self._suspicions:
            self._suspicions[daemon_id] += pause

    def leave(self, now: Milliseconds) -> None:
        """Record that this daemon is about to stop.

        :param now: current instant.
        """
        self.own = replace(self.own, state=MemberState.LEFT)
        self.table.merge(self.own, now)

    def _is_false_end(self, known: Member, claim: Member) -> bool:
        if known.daemon_id == self.own.daemon_id:
            return False
        is_end = known.is_living and claim.state is MemberState.DEAD
        return is_end and claim.rank > known.rank

    def _defend(self, member: Member, now: Milliseconds) -> Iterator[Action]:
        own = self.own
        refutes = self._options.refute and own.state is MemberState.ALIVE
        if not refutes or member.rank <= own.rank:
            return
        self.own = replace(own, incarnation=member.incarnation + 1)
        self.table.merge(self.own, now)
        self._members.add(own.daemon_id, self.own)
        yield MemberChanged(self.own)
