"""Messages that daemons exchange about members, and the whole set."""

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
    """State of a member; at one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What is known about a daemon.

    ``run`` tells apart successive processes on the address; ``incarnation``
    starts at ``run`` and rises when a suspicion is refuted.
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
        """Order of news about one daemon; the higher rank is newer."""
        return (self.incarnation, int(self.state))

    @property
    def is_living(self) -> bool:
        """Whether the member counts as present."""
        return self.state in {MemberState.ALIVE, MemberState.SUSPECT}


class Payload(msgspec.Struct, frozen=True, array_like=True):
    """Newest value that a daemon published under a topic."""

    topic: str
    daemon_id: str
    version: int
    content: bytes

    @property
    def rank(self) -> int:
        """Order of the values of one topic and daemon."""
        return self.version


class StateUpdates(msgspec.Struct, frozen=True, array_like=True):
    """Changes that ride on another message."""

    members: tuple[Member, ...] = ()
    payloads: tuple[Payload, ...] = ()


class Ping(ControlMessage, frozen=True):
    """Asks for an acknowledgement."""

    sequence: int
    news: StateUpdates = StateUpdates()
    advert: Advert = Advert()


class Ack(ControlMessage, frozen=True):
    """Answers a ping."""

    sequence: int
    news: StateUpdates = StateUpdates()
    advert: Advert = Advert()


class PingRequest(ControlMessage, frozen=True):
    """Asks the receiver to ping a target for the sender."""

    sequence: int
    target: str


class Gossip(ControlMessage, frozen=True):
    """Spreads changes between two pings."""

    news: StateUpdates


class Sync(ControlMessage, frozen=True):
    """Compares the living members of two daemons by bucket digests."""

    digests: tuple[int, ...]
    sender: Member
    payload_digests: tuple[int, ...] = ()


class SyncMembers(ControlMessage, frozen=True):
    """Members and values of the buckets that differ.

    ``buckets`` and ``payload_buckets`` ask the receiver for its own.
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
