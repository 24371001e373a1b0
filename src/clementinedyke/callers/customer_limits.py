"""Limits of connections and tokens/s for each customer of a daemon."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from clementinedyke.admission.token_rate import TokenRateCore
from clementinedyke.callers.context import RequestContext
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.http.message import ConnectionInfo, RequestError
from clementinedyke.records.directory import Directory

_RETRY_AFTER: Milliseconds = 1000
#: Retry-After for a rate of 0, at which no request is ever allowed.
_BLOCKED_RETRY_AFTER: Milliseconds = 60000


def count_no_connections(customer: str) -> int:
    """Return 0, the default of a handler that serves no port.

    :param customer: name of a customer.
    """
    return 0


class ConnectionLimit:
    """Limits the open connections of each customer."""

    def __init__(self, maximum: int | None = None) -> None:
        """Create the limit.

        :param maximum: connections per customer, None for no limit. A lower
            ``max_connections`` in a customer record takes precedence.
        """
        self._maximum = maximum
        #: Returns the number of open connections of a customer.
        self.count_open_connections: Callable[[str], int] = count_no_connections

    def register_connection(
        self, directory: Directory, connection: ConnectionInfo, customer: str
    ) -> None:
        """Assign a connection to a customer and check the limit.

        Only the first request of a customer on a connection is checked,
        because counting iterates over all connections.

        :param directory: current records.
        :param connection: connection of the request.
        :param customer: customer of the request.
        :raises RequestError: if the customer has reached its limit; the
            connection is then closed.
        """
        if connection.customer == customer:
            return
        maximum = self._get_maximum(directory, customer)
        if (
            maximum is not None
            and self.count_open_connections(customer) >= maximum
        ):
            connection.must_close = True
            raise RequestError(
                ResultCode.CUSTOMER_LIMIT,
                f'customer {customer!r} has {maximum} open connections',
                _RETRY_AFTER,
            )
        connection.customer = customer

    def _get_maximum(self, directory: Directory, customer: str) -> int | None:
        record = directory.customers.get(customer)
        record_limit = None if record is None else record.max_connections
        limits = [
            limit
            for limit in (self._maximum, record_limit)
            if limit is not None
        ]
        return min(limits, default=None)


def count_single_daemon() -> int:
    """Return 1, the default number of live daemons."""
    return 1


class TokenRateLimit:
    """Enforces ``tokens_per_second`` of customer records.

    Each daemon grants an equal share, the rate divided by the number of live
    daemons, so that their sum never exceeds the rate in the record.
    """

    def __init__(
        self,
        clock: Clock,
        count_daemons: Callable[[], int] = count_single_daemon,
    ) -> None:
        """Create the limit.

        :param clock: clock of this process.
        :param count_daemons: returns the number of live daemons.
        """
        self._clock = clock
        self._count_daemons = count_daemons
        self._core = TokenRateCore()
        self._revision = -1

    @contextmanager
    def charge_request(
        self, directory: Directory, context: RequestContext
    ) -> Iterator[None]:
        """Charge the estimated tokens, and correct them on exit.

        Requests to plain services and customers without a rate are not
        charged.

        :param directory: current records.
        :param context: request to charge.
        :raises RequestError: if the customer has used up its tokens.
        """
        rate = self._get_rate(directory, context)
        if rate is None:
            yield
            return
        customer = context.route.customer or ''
        estimate = context.work.prompt_tokens + context.work.output_tokens
        self._charge(customer, rate, estimate)
        try:
            yield
        finally:
            self._core.settle(customer, estimate - _count_tokens(context))

    def _get_rate(
        self, directory: Directory, context: RequestContext
    ) -> float | None:
        record = directory.customers.get(context.route.customer or '')
        if record is None or record.tokens_per_second is None:
            return None
        if not context.route.is_model:
            return None
        self._remove_stale_accounts(directory)
        return record.tokens_per_second / max(1, self._count_daemons())

    def _charge(self, customer: str, rate: float, estimate: int) -> None:
        wait: Milliseconds | None = _BLOCKED_RETRY_AFTER
        if rate:
            now = self._clock.get_now()
            wait = self._core.start(customer, rate, estimate, now)
        if wait is not None:
            raise RequestError(
                ResultCode.CUSTOMER_LIMIT,
                f'customer {customer!r} has used its tokens per second',
                wait,
            )

    def _remove_stale_accounts(self, directory: Directory) -> None:
        if directory.revision == self._revision:
            return
        self._revision = directory.revision
        self._core.retain_accounts(
            frozenset(
                name
                for name, record in directory.customers.items()
                if record.tokens_per_second
            )
        )


def _count_tokens(context: RequestContext) -> int:
    """Return the tokens used by an ended request, 0 if it did not run.

    If the engine reported no usage, the estimated prompt tokens are used.
    """
    outcome = context.outcome
    codes = [attempt.code for attempt in outcome.attempts]
    if all(code is ResultCode.NO_ENDPOINT for code in codes):
        return 0
    prompt = outcome.prompt_tokens or context.work.prompt_tokens
    return prompt + outcome.completion_tokens
