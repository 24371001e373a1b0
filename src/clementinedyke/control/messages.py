"""Membership messages, and the union of all messages between daemons."""

from enum import IntEnum

import msgspec

from clementinedyke.configuration.messages import (
    Advert,
    Changes,
    ControlMessage,
    FetchChanges,
    FetchList,
    Hint,
    ListContent,
)


class MemberState(IntEnum):
    """State of a member; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Record of a daemon in the membership table.

    ``run`` distinguishes successive processes on one address. ``incarnation``
    starts at ``run`` and increases when the daemon refutes a suspicion.
    """

    daemon_id: str
    host_id: str
    region: str
    availability_zone: str
    address: str
    run: int
    incarnation: int
    state: MemberState = MemberState.ALIVE

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of the records of one daemon; the higher one is newer."""
        return (self.incarnation, int(self.state))

    @property
    def is_living(self) -> bool:
        """Whether the member is alive or only suspected of having failed."""
        return self.state in {MemberState.ALIVE, MemberState.SUSPECT}


class Payload(msgspec.Struct, frozen=True, array_like=True):
    """A versioned value that a daemon published under a topic."""

    topic: str
    daemon_id: str
    version: int
    content: bytes

    @property
    def rank(self) -> int:
        """Sort key of the values of one topic and daemon."""
        return self.version


class StateUpdates(msgspec.Struct, frozen=True, array_like=True):
    """State updates that are piggybacked on another message."""

    members: tuple[Member, ...] = ()
    payloads: tuple[Payload, ...] = ()


class Ping(ControlMessage, frozen=True):
    """Probes the receiver, which answers with ``Ack``."""

    sequence: int
    news: StateUpdates = StateUpdates()
    advert: Advert = Advert()


class Ack(ControlMessage, frozen=True):
    """Answers ``Ping``."""

    sequence: int
    news: StateUpdates = StateUpdates()
    advert: Advert = Advert()


class PingRequest(ControlMessage, frozen=True):
    """Asks the receiver to probe ``target`` on behalf of the sender."""

    sequence: int
    target: str


class Gossip(ControlMessage, frozen=True):
    """Sends state updates without waiting for the next probe."""

    news: StateUpdates


class Sync(ControlMessage, frozen=True):
    """Compares the living members of two daemons by bucket digests."""

    digests: tuple[int, ...]
    sender: Member
    payload_digests: tuple[int, ...] = ()


class SyncMembers(ControlMessage, frozen=True):
    """Members and values of the buckets that differ.

    ``buckets`` and ``payload_buckets`` request those of the receiver.
    """

    members: tuple[Member, ...]
    buckets: tuple[int, ...] = ()
    payloads: tuple[Payload, ...] = ()
    payload_buckets: tuple[int, ...] = ()


Message = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | Sync
    | SyncMembers
    | Hint
    | FetchChanges
    | Changes
    | FetchList
    | ListContent
)
