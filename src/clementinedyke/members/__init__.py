"""Failure detection among daemons and what they tell one another."""

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
