"""Handles the requests of callers from key check to relayed answer."""

import json
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from clementinedyke.codes import ResultCode
from clementinedyke.configuration_component import ConfigurationComponent
from clementinedyke.directory import Directory
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http_client import Headers, HttpRequest, ResponseStream
from clementinedyke.http_server import (
    RequestError,
    ResponseWriter,
    ServerRequest,
    write_error,
)
from clementinedyke.records import ServiceRecord, get_digest

_CHAT_PATH = '/v1/chat/completions'
_MODELS_PATH = '/v1/models'
_SERVICES_PREFIX = '/services/'
_OK = 200
#: Headers that never reach an endpoint: the key, and those of one connection.
_STRIPPED = frozenset(
    (
        b'authorization',
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


@dataclass(frozen=True, slots=True)
class Route:
    """Where a request goes and on whose behalf."""

    service: ServiceRecord
    customer: str | None
    target: str


class CallerHandler:
    """Checks, routes and relays the requests of callers."""

    def __init__(
        self,
        configuration: ConfigurationComponent,
        endpoints: EndpointRegistry,
    ) -> None:
        """Create the handler.

        :param configuration: source of the records in force.
        :param endpoints: endpoints that can take requests.
        """
        self._configuration = configuration
        self._endpoints = endpoints

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer one request.

        :param request: request of a caller.
        :param response: writer of the answer.
        """
        try:
            await self._answer(request, response)
        except RequestError as error:
            if response.is_started:
                raise
            await write_error(response, error)

    async def _answer(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        directory = self._configuration.get_directory()
        if request.path == _MODELS_PATH:
            _get_customer(directory, request)
            await response.send_json(_OK, _list_models(directory))
            return
        route = select_route(directory, request)
        await self._relay(route, request, response)

    async def _relay(
        self, route: Route, request: ServerRequest, response: ResponseWriter
    ) -> None:
        client = self._endpoints.select_client(route.service.name)
        if client is None:
            raise RequestError(
                ResultCode.NO_ENDPOINT,
                f'service {route.service.name!r} has no endpoint',
            )
        upstream = HttpRequest(
            method=request.method,
            target=route.target,
            headers=strip_headers(request.headers),
            body=request.body,
        )
        try:
            async with client.open_response(upstream) as answer:
                await _copy_answer(answer, response)
        except PeerUnavailableError as error:
            raise RequestError(ResultCode.NO_ENDPOINT, str(error)) from error
        except AnswerLostError as error:
            raise RequestError(ResultCode.ANSWER_LOST, str(error)) from error


def select_route(directory: Directory, request: ServerRequest) -> Route:
    """Return the route of a request after checking its key.

    :param directory: records in force.
    :param request: request of a caller.
    :raises RequestError: if the key, path, model or body is refused.
    """
    if request.path == _CHAT_PATH:
        return _select_model_route(directory, request)
    if request.path.startswith(_SERVICES_PREFIX):
        return _select_service_route(directory, request)
    raise RequestError(ResultCode.ROUTE_UNKNOWN, f'no path {request.path!r}')


def strip_headers(headers: Headers) -> Headers:
    """Return the headers that an endpoint may see.

    :param headers: headers of the caller's request.
    """
    return [pair for pair in headers if pair[0] not in _STRIPPED]


def _select_model_route(directory: Directory, request: ServerRequest) -> Route:
    if request.method != 'POST':
        raise RequestError(
            ResultCode.METHOD_NOT_ALLOWED, f'{_CHAT_PATH} takes POST'
        )
    customer = _get_customer(directory, request)
    body = _parse_chat(request.body)
    service = directory.models.get(body['model'])
    if service is None:
        raise RequestError(
            ResultCode.ROUTE_UNKNOWN, f'model {body["model"]!r} does not exist'
        )
    _check_customer(directory, service, customer)
    return Route(service, customer, _CHAT_PATH)


def _select_service_route(
    directory: Directory, request: ServerRequest
) -> Route:
    rest = request.path.removeprefix(_SERVICES_PREFIX)
    name, _, path = rest.partition('/')
    service = directory.services.get(name)
    if service is None or service.backend != 'plain':
        _get_customer(directory, request)
        raise RequestError(
            ResultCode.ROUTE_UNKNOWN, f'service {name!r} does not exist'
        )
    customer = None
    if not service.open_to_all:
        customer = _get_customer(directory, request)
        _check_customer(directory, service, customer)
    query = f'?{request.query}' if request.query else ''
    return Route(service, customer, f'/{path}{query}')


def _get_customer(directory: Directory, request: ServerRequest) -> str:
    authorization = request.get_header(b'authorization') or ''
    scheme, _, secret = authorization.partition(' ')
    key = directory.get_key(get_digest(secret.strip()))
    if scheme.lower() != 'bearer' or key is None:
        raise RequestError(ResultCode.KEY_UNKNOWN, 'unknown API key')
    if key.withdrawn:
        raise RequestError(ResultCode.KEY_WITHDRAWN, 'API key was withdrawn')
    return key.customer


def _check_customer(
    directory: Directory, service: ServiceRecord, customer: str
) -> None:
    record = directory.customers.get(customer)
    if record is None or service.name not in record.services:
        raise RequestError(
            ResultCode.CUSTOMER_NOT_ALLOWED,
            f'customer {customer!r} may not use service {service.name!r}',
        )


def _parse_chat(body: bytes) -> Mapping[str, Any]:
    try:
        content = json.loads(body)
    except ValueError as error:
        raise RequestError(
            ResultCode.BODY_INVALID, f'body is not JSON: {error}'
        ) from error
    if not isinstance(content, dict):
        raise RequestError(ResultCode.BODY_INVALID, 'body is not an object')
    if not isinstance(content.get('model'), str):
        raise RequestError(ResultCode.BODY_INVALID, "'model' is not a string")
    if not isinstance(content.get('messages'), list):
        raise RequestError(ResultCode.BODY_INVALID, "'messages' is not a list")
    return content


def _list_models(directory: Directory) -> Mapping[str, Any]:
    models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': service.name}
        for name, service in sorted(directory.models.items())
    ]
    return {'object': 'list', 'data': models}


async def _copy_answer(
    answer: ResponseStream, response: ResponseWriter
) -> None:
    headers = [pair for pair in answer.headers if pair[0] not in _STRIPPED]
    request_id = (b'Clementinedyke-Request-Id', uuid.uuid4().hex.encode())
    lengths = [pair for pair in answer.headers if pair[0] == b'content-length']
    await response.send_head(answer.status, [*headers, *lengths, request_id])
    async for chunk in answer.receive_chunks():
        await response.send_chunk(chunk)
    await response.end()
