"""Messages with which daemons forward one another's requests to endpoints."""

import enum

import msgspec

from clementinedyke.exceptions import (
    AnswerLostError,
    ClementinedykeError,
    ConnectionDroppedError,
    ConnectionRefusedByPeerError,
    PeerUnavailableError,
    ProtocolError,
)

RELAY_PATH = '/relay'
#: Header of a forwarded answer; how the endpoint marked the end of its body.
FRAMING_HEADER = b'clementinedyke-framing'
#: Header of an answer that is not the endpoint's; the failure.
FAILURE_HEADER = b'clementinedyke-failure'


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the run of an endpoint.

    An empty ``method`` asks only whether a process listens there.
    ``needs_new`` asks for a connection that carried no request before.
    """

    run_id: str
    method: str
    target: str = ''
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b''
    needs_new: bool = False


class RelayFailure(enum.Enum):
    """Why a daemon has no answer of an endpoint."""

    #: The endpoint may have run the request.
    LOST = 'lost'
    #: As above; the connection had been idle and was probably closed before.
    DROPPED = 'dropped'
    #: The endpoint sent something that is no answer.
    MALFORMED = 'malformed'
    #: Nothing was sent.
    UNREACHABLE = 'unreachable'
    #: As above; no process listens at the endpoint's address.
    NOT_LISTENING = 'not_listening'
    #: Nothing was sent; the daemon forwards no requests now.
    UNWILLING = 'unwilling'


_EXCEPTIONS: dict[RelayFailure, type[ClementinedykeError]] = {
    RelayFailure.DROPPED: ConnectionDroppedError,
    RelayFailure.LOST: AnswerLostError,
    RelayFailure.MALFORMED: ProtocolError,
    RelayFailure.NOT_LISTENING: ConnectionRefusedByPeerError,
    RelayFailure.UNREACHABLE: PeerUnavailableError,
    RelayFailure.UNWILLING: PeerUnavailableError,
}


#: UNWILLING is the failure of a daemon, not of its HTTP client.
_FAILURES = {
    exception: failure
    for failure, exception in _EXCEPTIONS.items()
    if failure is not RelayFailure.UNWILLING
}


def get_failure(error: ClementinedykeError) -> RelayFailure:
    """Return the failure that an exception of an HTTP client stands for.

    :param error: exception raised before the head of an answer arrived.
    """
    return _FAILURES.get(type(error), RelayFailure.LOST)


def create_exception(failure: RelayFailure, text: str) -> ClementinedykeError:
    """Return the exception that an HTTP client raises for a failure.

    :param failure: failure reported by another daemon.
    :param text: message of the exception.
    """
    return _EXCEPTIONS[failure](text)
