"""Exceptions raised by clementinedyke."""


class ClementinedykeError(Exception):
    """Root of all exceptions raised by this package."""


class SettingError(ClementinedykeError):
    """A setting has a value that is not allowed."""


class RecordError(ClementinedykeError):
    """A record does not satisfy its schema."""


class ProtocolError(ClementinedykeError):
    """A peer sent data that does not follow its protocol."""


class PeerUnavailableError(ClementinedykeError):
    """A peer cannot be reached; nothing was sent to it."""


class AnswerLostError(ClementinedykeError):
    """A call was sent to a peer and its answer did not arrive.

    The call may have taken effect.
    """


class ConnectionDroppedError(AnswerLostError):
    """A kept connection broke as soon as a request was sent on it.

    The peer seems to have dropped it while it rested. Whether the request
    was taken is as unknown as with any lost answer.
    """
