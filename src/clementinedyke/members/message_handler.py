"""Handling of membership messages from other daemons."""

from collections.abc import Iterable, Iterator
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import (
    Ack,
    Gossip,
    Ping,
    PingRequest,
    StateUpdates,
    Sync,
    SyncMembers,
)
from clementinedyke.members.events import Action, Send
from clementinedyke.members.prober import Prober
from clementinedyke.members.table import list_differing_buckets
from clementinedyke.members.view import MemberView


class PeerMessageHandler:
    """Merges updates received from other daemons and creates the replies."""

    def __init__(self, view: MemberView, prober: Prober) -> None:
        """Create the message handler of one daemon.

        :param view: members known to this daemon.
        :param prober: tracks the pending probes of this daemon.
        """
        self._view = view
        self._prober = prober

    @singledispatchmethod
    def handle_message(
        self, message: object, address: str, now: Milliseconds
    ) -> Iterable[Action]:
        """Merge a message and return the replies and resulting changes.

        :param message: membership message; other types have no effect.
        :param address: address of the daemon that sent the message.
        :param now: current time on the clock of the process.
        """
        return ()

    @handle_message.register
    def _handle_ping(
        self, message: Ping, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        yield from self._view.merge_updates(message.news, now)
        yield Send(address, Ack(message.sequence, self._view.pop_updates()))

    @handle_message.register
    def _handle_ack(
        self, message: Ack, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        origin = self._prober.resolve(message.sequence)
        yield from self._view.merge_updates(message.news, now)
        if origin is not None:
            yield Send(origin[0], Ack(origin[1]))

    @handle_message.register
    def _handle_ping_request(
        self, message: PingRequest, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        target = self._view.table.get_member(message.target)
        if target is not None:
            yield self._prober.ping(target, now, (address, message.sequence))

    @handle_message.register
    def _handle_gossip(
        self, message: Gossip, address: str, now: Milliseconds
    ) -> Iterable[Action]:
        return self._view.merge_updates(message.news, now)

    @handle_message.register
    def _handle_sync(
        self, message: Sync, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        yield from self._view.merge(message.sender, now)
        table = self._view.table
        payloads = self._view.payloads
        buckets = list_differing_buckets(
            table.compute_digests(), message.digests
        )
        payload_buckets = list_differing_buckets(
            payloads.compute_digests(), message.payload_digests
        )
        if buckets or payload_buckets:
            reply = SyncMembers(
                table.list_buckets(buckets),
                buckets,
                payloads.list_buckets(payload_buckets),
                payload_buckets,
            )
            yield Send(address, reply)

    @handle_message.register
    def _handle_sync_members(
        self, message: SyncMembers, address: str, now: Milliseconds
    ) -> Iterator[Action]:
        yield from self._view.merge_sync(message.members, now)
        for member in self._view.list_disputed(message.members):
            yield self._prober.ping(member, now)
        yield from self._view.merge_updates(
            StateUpdates((), message.payloads), now
        )
        if message.buckets or message.payload_buckets:
            payloads = self._view.payloads
            reply = SyncMembers(
                self._view.table.list_buckets(message.buckets),
                payloads=payloads.list_buckets(message.payload_buckets),
            )
            yield Send(address, reply)
