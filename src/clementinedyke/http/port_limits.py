"""Limits of ports that serve no callers."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.http.message import ConnectionLimits


@dataclass(slots=True)
class ProbeLimits(ConnectionLimits):
    """Limits of a port for probes and metrics.

    Their requests have no body, and each peer needs one connection.
    """

    max_header_bytes: int = 8192
    max_body_bytes: int = 1024
    max_pipelined_bytes: int = 8192
    max_connections: int = 64
    idle_timeout: Milliseconds = 15000
    header_timeout: Milliseconds = 3000
    receive_timeout: Milliseconds = 3000
    write_timeout: Milliseconds = 5000


@dataclass(slots=True)
class PeerLimits(ConnectionLimits):
    """Limits of a port for other daemons.

    They forward requests with the bodies of callers, and each of hundreds of
    daemons may have a connection open.
    """

    max_connections: int = 512
    header_timeout: Milliseconds = 3000


@dataclass(slots=True)
class OperatorLimits(ConnectionLimits):
    """Limits of a port for operators, who send records."""

    max_body_bytes: int = 1048576
    max_connections: int = 128
    header_timeout: Milliseconds = 3000
