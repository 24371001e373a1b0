"""Maps request paths to services."""

from collections.abc import Mapping
from typing import Any

from clementinedyke.callers.authentication import check_customer, get_customer
from clementinedyke.callers.context import Route
from clementinedyke.callers.validation import check_prompt, parse_chat
from clementinedyke.callers.work import estimate_chat_work, estimate_plain_work
from clementinedyke.codes import ResultCode
from clementinedyke.http.server import RequestError, ServerRequest
from clementinedyke.records.directory import Directory

CHAT_PATH = '/v1/chat/completions'
MODELS_PATH = '/v1/models'
_SERVICES_PREFIX = '/services/'


def select_route(directory: Directory, request: ServerRequest) -> Route:
    """Return the route of a request after checking its key and body.

    :param directory: current records.
    :param request: request of a caller.
    :raises RequestError: if the key, path, model or body is refused.
    """
    if request.path == CHAT_PATH:
        return _select_model_route(directory, request)
    if request.path.startswith(_SERVICES_PREFIX):
        return _select_service_route(directory, request)
    raise RequestError(ResultCode.ROUTE_UNKNOWN, f'no path {request.path!r}')


def list_models(directory: Directory) -> Mapping[str, Any]:
    """Return the response object of ``GET /v1/models``.

    :param directory: current records.
    """
    models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': service.name}
        for name, service in sorted(directory.models.items())
    ]
    return {'object': 'list', 'data': models}


def _select_model_route(directory: Directory, request: ServerRequest) -> Route:
    if request.method != 'POST':
        raise RequestError(
            ResultCode.METHOD_NOT_ALLOWED, f'{CHAT_PATH} takes POST'
        )
    customer = get_customer(directory, request)
    body = parse_chat(request.body)
    service = directory.models.get(body['model'])
    if service is None:
        raise RequestError(
            ResultCode.ROUTE_UNKNOWN, f'model {body["model"]!r} does not exist'
        )
    check_customer(directory, service, customer)
    work = estimate_chat_work(customer, service.name, request.body, body)
    check_prompt(service, work.prompt_tokens)
    return Route(service, customer, CHAT_PATH, work)


def _select_service_route(
    directory: Directory, request: ServerRequest
) -> Route:
    service_path = request.path.removeprefix(_SERVICES_PREFIX)
    name, _, path = service_path.partition('/')
    service = directory.services.get(name)
    if service is None or service.backend != 'plain':
        get_customer(directory, request)
        raise RequestError(
            ResultCode.ROUTE_UNKNOWN, f'service {name!r} does not exist'
        )
    customer = None
    if not service.open_to_all:
        customer = get_customer(directory, request)
        check_customer(directory, service, customer)
    query = f'?{request.query}' if request.query else ''
    target = f'/{path}{query}'
    labels = (customer or '', service.name, request.method, target)
    work = estimate_plain_work(labels, request.body)
    return Route(service, customer, target, work)
