"""Answers of the membership to messages of peers."""

from collections.abc import Iterable, Iterator
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.control_messages import (
    Ack,
    Gossip,
    Ping,
    PingRequest,
    Sync,
    SyncMembers,
)
from clementinedyke.member_view import MemberView
from clementinedyke.membership_events import Action, Send
from clementinedyke.prober import Prober


class MembershipAnswers:
    """Merges what peers tell and answers them."""

    def __init__(self, view: MemberView, prober: Prober) -> None:
        """Create the answers of one daemon.

        :param view: members known to this daemon.
        :param prober: open probes of this daemon.
        """
        self._view = view
        self._prober = prober

    @singledispatchmethod
    def answer(
        self, message: object, address: str, now: Milliseconds
    ) -> Iterable[Action]:
        """Return the actions that a message calls for.

        :param message: message of a peer; other types have no effect.
        :param address: daemon address of the peer.
        :param now: current instant.
        """
        return ()

    @answer.register
    def _answer_ping(
        self, message: Ping, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        yield from self._view.learn(message.news, now)
        yield Send(address, Ack(message.sequence, self._view.take_news()))

    @answer.register
    def _answer_ack(
        self, message: Ack, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        origin = self._prober.resolve(message.sequence)
        yield from self._view.learn(message.news, now)
        if origin is not None:
            yield Send(origin[0], Ack(origin[1]))

    @answer.register
    def _answer_request(
        self, message: PingRequest, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        target = self._view.table.get_member(message.target)
        if target is not None:
            yield self._prober.ping(target, now, (address, message.sequence))

    @answer.register
    def _answer_gossip(
        self, message: Gossip, address: str, now: Milliseconds
    ) -> Iterable[Action]:
        return self._view.learn(message.news, now)

    @answer.register
    def _answer_sync(
        self, message: Sync, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        yield from self._view.merge(message.sender, now)
        table = self._view.table
        pairs = zip(table.compute_digests(), message.digests, strict=False)
        differing = tuple(
            bucket for bucket, pair in enumerate(pairs) if pair[0] != pair[1]
        )
        if differing:
            members = table.list_buckets(differing)
            yield Send(address, SyncMembers(members, differing))

    @answer.register
    def _answer_members(
        self, message: SyncMembers, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        yield from self._view.compare(message.members, now)
        if message.buckets:
            members = self._view.table.list_buckets(message.buckets)
            yield Send(address, SyncMembers(members))
