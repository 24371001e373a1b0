"""Options, events and actions of the membership core."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import Member, Message, Payload


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Intervals in milliseconds and sizes in bytes."""

    tick: Milliseconds = 200
    probe_interval: Milliseconds = 1000
    probe_timeout: Milliseconds = 400
    suspicion_timeout: Milliseconds = 1600
    sync_interval: Milliseconds = 10000
    #: Time between two attempts to reach dead members and absent seeds: 10 s
    #: left views of nine daemons apart 40 s after a cut.
    reconnect_interval: Milliseconds = 2500
    #: Longer than any loss of contact between availability zones so far.
    forget_after: Milliseconds = 3_600_000
    ring_probes: int = 2
    #: Probes of farther members each second, which spread confirmations.
    far_probes: int = 2
    helpers: int = 3
    news_bytes: int = 700
    payload_bytes: int = 150
    payload_sends: int = 4
    #: Values in the answer to a sync, which repairs what gossip missed.
    sync_payloads: int = 40
    #: Members that a sync may have probed at once.
    sync_probes: int = 32
    #: Bound on what one daemon may publish under one topic.
    payload_limit: int = 120
    indirect: bool = True
    refute: bool = True
    sync: bool = True


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every ``tick`` milliseconds."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived from the daemon at an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Leave:
    """This daemon is about to stop."""


@dataclass(frozen=True, slots=True)
class Publish:
    """This daemon has a new value for a topic."""

    topic: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may be lost."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member appeared, changed its state or restarted."""

    member: Member


@dataclass(frozen=True, slots=True)
class PayloadChanged:
    """A daemon has a newer value for a topic."""

    payload: Payload


Action = Send | MemberChanged | PayloadChanged
