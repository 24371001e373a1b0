"""Reports of connections that were lost while a request waited on them."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class LostConnection:
    """A connection that was lost or given up before its response ended.

    ``idle_time`` is the time in ms for which it was idle before the request,
    None if it was new. ``silence`` is the time in ms since the peer last sent
    anything on it.
    """

    idle_time: Milliseconds | None
    silence: Milliseconds


def discard_loss(lost: LostConnection) -> None:
    """Do nothing; callback of a client without an observer.

    :param lost: ignored.
    """
