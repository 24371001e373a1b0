"""Checks of a request against its service record and the quarantine."""

from clementinedyke.callers.context import RequestContext
from clementinedyke.codes import ResultCode
from clementinedyke.http.message import RequestError
from clementinedyke.quarantine.core import Verdict

#: In milliseconds.
_HOLD_RETRY_AFTER = 2000


def check_service_rules(context: RequestContext, region: str) -> None:
    """Refuse a request that its service record does not allow.

    :param context: routed request.
    :param region: region of this daemon.
    :raises RequestError: if the request lacks a required idempotency key or
        has to run in another region; it was not run.
    """
    service = context.route.service
    key = context.idempotency_key
    if service.require_idempotency_key and key is None:
        raise RequestError(
            ResultCode.IDEMPOTENCY_KEY_REQUIRED,
            f'service {service.name!r} requires an Idempotency-Key header',
        )
    if context.is_repeatable or service.home_region in {None, region}:
        return
    raise RequestError(
        ResultCode.WRONG_REGION,
        f'service {service.name!r} takes requests that may not be repeated '
        f'in region {service.home_region!r}',
    )


def check_verdict(verdict: Verdict) -> None:
    """Refuse a request that crashed endpoints or is held for examination.

    :param verdict: quarantine verdict on the request.
    :raises RequestError: if the request is held or convicted.
    """
    if verdict is Verdict.CONVICTED:
        raise RequestError(
            ResultCode.REQUEST_QUARANTINED,
            'this request crashed the endpoints that ran it',
        )
    if verdict is Verdict.HELD:
        raise RequestError(
            ResultCode.REQUEST_HELD,
            'the loss of an endpoint is being examined',
            _HOLD_RETRY_AFTER,
        )
