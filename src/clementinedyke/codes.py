"""Numeric result codes of requests, with HTTP status and meaning."""

import enum
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType


class ExecutionState(enum.Enum):
    """Whether a request is known to have run."""

    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    REPLAYED = 'replayed'
    RUN = 'run'


@enum.unique
class ResultCode(enum.IntEnum):
    """Numeric code of how a request ended.

    1xxx: answered. 2xxx: refused because of the request. 3xxx: refused because
    of the state of the system. 4xxx: dispatched, with an unknown outcome or an
    incomplete answer.
    """

    OK = 1000
    REPLAYED = 1001
    KEY_UNKNOWN = 2000
    KEY_WITHDRAWN = 2001
    CUSTOMER_NOT_ALLOWED = 2002
    ROUTE_UNKNOWN = 2003
    BODY_INVALID = 2004
    BODY_TOO_LARGE = 2005
    HEADERS_TOO_LARGE = 2006
    REQUEST_TIMEOUT = 2007
    METHOD_NOT_ALLOWED = 2008
    IDEMPOTENCY_KEY_REQUIRED = 2009
    IDEMPOTENCY_KEY_REUSED = 2010
    REQUEST_QUARANTINED = 2011
    REQUEST_MALFORMED = 2012
    RECORD_INVALID = 2013
    RECORD_CONFLICT = 2014
    WRONG_REGION = 2015
    QUEUE_FULL = 3000
    DEADLINE_UNREACHABLE = 3001
    CUSTOMER_LIMIT = 3002
    NO_ENDPOINT = 3003
    SHUTTING_DOWN = 3004
    KEY_STATE_STALE = 3005
    CLAIM_UNAVAILABLE = 3006
    NOT_READY = 3007
    CONNECTION_LIMIT = 3008
    STORE_UNAVAILABLE = 3009
    STORE_UNREACHABLE = 3010
    REQUEST_HELD = 3011
    VERSION_UNKNOWN = 3012
    ENDPOINTS_PAUSED = 3013
    MEMORY_SHORT = 3014
    ANSWER_LOST = 4000
    ENDPOINT_TIMEOUT = 4001
    CLAIM_PENDING = 4002
    INTERNAL_ERROR = 4003


@dataclass(frozen=True, slots=True)
class CodeDetails:
    """HTTP status, execution state and meaning of a result code."""

    status: HTTPStatus
    execution: ExecutionState
    meaning: str


_NOT_RUN = ExecutionState.NOT_RUN
_UNKNOWN = ExecutionState.OUTCOME_UNKNOWN

DETAILS = MappingProxyType(
    {
        ResultCode.OK: CodeDetails(
            HTTPStatus.OK,
            ExecutionState.RUN,
            'The request ran and its answer is whole.',
        ),
        ResultCode.REPLAYED: CodeDetails(
            HTTPStatus.OK,
            ExecutionState.REPLAYED,
            'The request ran before; this is its kept answer.',
        ),
        ResultCode.KEY_UNKNOWN: CodeDetails(
            HTTPStatus.UNAUTHORIZED,
            _NOT_RUN,
            'The API key is missing or unknown.',
        ),
        ResultCode.KEY_WITHDRAWN: CodeDetails(
            HTTPStatus.UNAUTHORIZED, _NOT_RUN, 'The API key has been withdrawn.'
        ),
        ResultCode.CUSTOMER_NOT_ALLOWED: CodeDetails(
            HTTPStatus.FORBIDDEN,
            _NOT_RUN,
            'The customer may not use this service.',
        ),
        ResultCode.ROUTE_UNKNOWN: CodeDetails(
            HTTPStatus.NOT_FOUND, _NOT_RUN, 'No such model, service or path.'
        ),
        ResultCode.BODY_INVALID: CodeDetails(
            HTTPStatus.BAD_REQUEST,
            _NOT_RUN,
            'The body does not follow the protocol.',
        ),
        ResultCode.BODY_TOO_LARGE: CodeDetails(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            _NOT_RUN,
            'The body is larger than the limit.',
        ),
        ResultCode.HEADERS_TOO_LARGE: CodeDetails(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            _NOT_RUN,
            'The headers are larger than the limit.',
        ),
        ResultCode.REQUEST_TIMEOUT: CodeDetails(
            HTTPStatus.REQUEST_TIMEOUT,
            _NOT_RUN,
            'The request did not arrive in time.',
        ),
        ResultCode.METHOD_NOT_ALLOWED: CodeDetails(
            HTTPStatus.METHOD_NOT_ALLOWED,
            _NOT_RUN,
            'The path does not take this method.',
        ),
        ResultCode.IDEMPOTENCY_KEY_REQUIRED: CodeDetails(
            HTTPStatus.BAD_REQUEST,
            _NOT_RUN,
            'The service requires an Idempotency-Key header.',
        ),
        ResultCode.IDEMPOTENCY_KEY_REUSED: CodeDetails(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _NOT_RUN,
            'The Idempotency-Key belongs to another request.',
        ),
        ResultCode.REQUEST_QUARANTINED: CodeDetails(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _NOT_RUN,
            'The request crashed endpoints and is not run again.',
        ),
        ResultCode.REQUEST_MALFORMED: CodeDetails(
            HTTPStatus.BAD_REQUEST,
            _NOT_RUN,
            'The request is not valid HTTP/1.1.',
        ),
        ResultCode.RECORD_INVALID: CodeDetails(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            _NOT_RUN,
            'The record does not satisfy its schema.',
        ),
        ResultCode.RECORD_CONFLICT: CodeDetails(
            HTTPStatus.CONFLICT,
            _NOT_RUN,
            'The record has another version than expected.',
        ),
        ResultCode.WRONG_REGION: CodeDetails(
            HTTPStatus.MISDIRECTED_REQUEST,
            _NOT_RUN,
            'The service takes such requests in its home region.',
        ),
        ResultCode.QUEUE_FULL: CodeDetails(
            HTTPStatus.TOO_MANY_REQUESTS, _NOT_RUN, 'The queue is full.'
        ),
        ResultCode.DEADLINE_UNREACHABLE: CodeDetails(
            HTTPStatus.TOO_MANY_REQUESTS,
            _NOT_RUN,
            'The request would not start before its deadline.',
        ),
        ResultCode.CUSTOMER_LIMIT: CodeDetails(
            HTTPStatus.TOO_MANY_REQUESTS,
            _NOT_RUN,
            'The customer has reached a limit.',
        ),
        ResultCode.NO_ENDPOINT: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'No endpoint of the service can take the request.',
        ),
        ResultCode.SHUTTING_DOWN: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The daemon is shutting down.',
        ),
        ResultCode.KEY_STATE_STALE: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The state of API keys has not been confirmed lately.',
        ),
        ResultCode.CLAIM_UNAVAILABLE: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The claim of the request could not be recorded.',
        ),
        ResultCode.NOT_READY: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The daemon has no configuration yet.',
        ),
        ResultCode.CONNECTION_LIMIT: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The daemon has too many connections.',
        ),
        ResultCode.STORE_UNAVAILABLE: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _UNKNOWN,
            'The table service did not confirm the change.',
        ),
        ResultCode.STORE_UNREACHABLE: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The table service cannot be used; nothing was changed.',
        ),
        ResultCode.REQUEST_HELD: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The request may have crashed an endpoint that is being examined.',
        ),
        ResultCode.VERSION_UNKNOWN: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The software version that began the stream is not known.',
        ),
        ResultCode.ENDPOINTS_PAUSED: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'All endpoints of the service asked for a pause.',
        ),
        ResultCode.MEMORY_SHORT: CodeDetails(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _NOT_RUN,
            'The daemon has no memory left for the request.',
        ),
        ResultCode.ANSWER_LOST: CodeDetails(
            HTTPStatus.BAD_GATEWAY,
            _UNKNOWN,
            'The request was dispatched and its answer was lost.',
        ),
        ResultCode.ENDPOINT_TIMEOUT: CodeDetails(
            HTTPStatus.GATEWAY_TIMEOUT,
            _UNKNOWN,
            'The endpoint did not answer in time.',
        ),
        ResultCode.CLAIM_PENDING: CodeDetails(
            HTTPStatus.CONFLICT,
            _UNKNOWN,
            'The same request was claimed; its outcome is unknown.',
        ),
        ResultCode.INTERNAL_ERROR: CodeDetails(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            _UNKNOWN,
            'The daemon failed while it handled the request.',
        ),
    }
)


def get_details(code: ResultCode) -> CodeDetails:
    """Return the HTTP status, execution state and meaning of a code.

    :param code: result code of a request.
    """
    return DETAILS[code]
