"""Authenticates API keys and authorizes customers for services."""

from clementinedyke.codes import ResultCode
from clementinedyke.http.server import RequestError, ServerRequest
from clementinedyke.records.core import ServiceRecord, get_digest
from clementinedyke.records.directory import Directory


def get_customer(directory: Directory, request: ServerRequest) -> str:
    """Return the customer that the API key of a request belongs to.

    :param directory: current records.
    :param request: request with a bearer token.
    :raises RequestError: if the key is missing, unknown or withdrawn.
    """
    authorization = request.get_header(b'authorization') or ''
    scheme, _, secret = authorization.partition(' ')
    key = directory.get_key(get_digest(secret.strip()))
    if scheme.lower() != 'bearer' or key is None:
        raise RequestError(ResultCode.KEY_UNKNOWN, 'unknown API key')
    if key.withdrawn:
        raise RequestError(ResultCode.KEY_WITHDRAWN, 'API key was withdrawn')
    return key.customer


def check_customer(
    directory: Directory, service: ServiceRecord, customer: str
) -> None:
    """Refuse a customer whose record does not list a service.

    :param directory: current records.
    :param service: service of the request.
    :param customer: customer of the request.
    :raises RequestError: if the customer may not use the service.
    """
    record = directory.customers.get(customer)
    if record is None or service.name not in record.services:
        raise RequestError(
            ResultCode.CUSTOMER_NOT_ALLOWED,
            f'customer {customer!r} may not use service {service.name!r}',
        )
