"""Options, events and actions of the membership core."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import Member, Message, Payload


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Intervals in milliseconds, sizes in bytes and mechanism switches.

    Turning off ``indirect``, ``refute`` or ``sync`` disables that mechanism.
    """

    tick: Milliseconds = 200
    probe_interval: Milliseconds = 1000
    probe_timeout: Milliseconds = 400
    suspicion_timeout: Milliseconds = 1600
    sync_interval: Milliseconds = 10000
    #: Time between two attempts to reach dead members and absent seeds. With
    #: 10 s, nine daemons still had different views 40 s after a partition.
    reconnect_interval: Milliseconds = 2500
    #: Retention of dead members; longer than any partition between
    #: availability zones so far.
    forget_after: Milliseconds = 3_600_000
    #: Closest ring neighbours that are probed at each interval.
    ring_probes: int = 2
    #: More distant members probed at each interval. Their pings also spread
    #: the confirmations of the configuration.
    far_probes: int = 2
    #: Members asked to ping a target that did not answer.
    helpers: int = 3
    news_bytes: int = 700
    payload_bytes: int = 150
    payload_sends: int = 4
    #: Values in the reply to a sync, which repairs what gossip missed.
    sync_payloads: int = 40
    #: Limit of the members probed because a sync reported them dead.
    sync_probes: int = 32
    #: Size limit of a value that a daemon publishes under a topic.
    payload_limit: int = 120
    indirect: bool = True
    refute: bool = True
    sync: bool = True


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic tick, every ``MembershipOptions.tick`` milliseconds."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message was received from the daemon at ``address``."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Leave:
    """This daemon is about to stop and announces that it leaves."""


@dataclass(frozen=True, slots=True)
class Publish:
    """This daemon publishes a new value for a topic."""

    topic: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message without guarantee of delivery."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member joined, changed its state or restarted."""

    member: Member


@dataclass(frozen=True, slots=True)
class PayloadChanged:
    """Another daemon has published a newer value for a topic."""

    payload: Payload


Action = Send | MemberChanged | PayloadChanged
