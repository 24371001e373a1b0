"""HTTP/1.1 client and server on trio and h11."""

from clementinedyke.http.client import (
    Address,
    HttpClient,
    HttpRequest,
    HttpResponse,
    ResponseStream,
)
from clementinedyke.http.message import (
    ConnectionInfo,
    ConnectionLimits,
    RequestError,
    ResponseWriter,
    ServerRequest,
    compile_error_body,
    compile_result_headers,
    create_request_id,
)
from clementinedyke.http.server import (
    HttpServer,
)

__all__ = (
    'Address',
    'ConnectionInfo',
    'ConnectionLimits',
    'HttpClient',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'RequestError',
    'ResponseStream',
    'ResponseWriter',
    'ServerRequest',
    'compile_error_body',
    'compile_result_headers',
    'create_request_id',
)
