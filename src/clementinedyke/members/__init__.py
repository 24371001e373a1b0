"""Group membership of the daemons: failure detection and gossip."""

from clementinedyke.members.core import (
    Membership,
)
from clementinedyke.members.events import (
    Leave,
    MemberChanged,
    MembershipOptions,
    PayloadChanged,
    Publish,
    Received,
    Send,
    Tick,
)

__all__ = (
    'Leave',
    'MemberChanged',
    'Membership',
    'MembershipOptions',
    'PayloadChanged',
    'Publish',
    'Received',
    'Send',
    'Tick',
)
