"""Exceptions raised by clementinedyke."""


class ClementinedykeError(Exception):
    """Base class of all exceptions raised by this package."""


class SettingError(ClementinedykeError):
    """A setting has an invalid value."""


class RecordError(ClementinedykeError):
    """A record does not satisfy its schema."""


class ProtocolError(ClementinedykeError):
    """A peer sent data that does not follow its protocol."""


class PeerUnavailableError(ClementinedykeError):
    """A peer cannot be reached; no request was sent to it."""


class ConnectionRefusedByPeerError(PeerUnavailableError):
    """No process listens at the address of a peer."""


class AnswerLostError(ClementinedykeError):
    """A request was sent to a peer but no complete answer arrived.

    The request may have taken effect.
    """


class ConnectionDroppedError(AnswerLostError):
    """A reused connection broke as soon as a request was sent on it.

    The peer probably closed it while it was idle. As with any lost answer, it
    is unknown whether the peer processed the request.
    """


class MemoryShortError(ClementinedykeError):
    """A process has no memory left for a request or an answer."""
