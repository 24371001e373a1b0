"""Limits the tokens per second of each customer at this daemon."""

from clementinedyke.clock import Milliseconds

_MILLISECONDS_PER_SECOND = 1000
#: Maximum balance, in seconds at the rate of the customer.
_BURST_SECONDS = 2


class _Account:
    """Token balance of a customer; negative after a large request."""

    __slots__ = ('balance', 'updated')

    def __init__(self, balance: float, now: Milliseconds) -> None:
        self.balance = balance
        self.updated = now


class TokenRateCore:
    """Token buckets of customers, charged by requests.

    A request of any size starts when the balance is positive and is charged
    its estimated tokens. When it ends, the balance is corrected by the
    difference from its actual tokens. In the long run a customer thus gets
    exactly its rate, and a request larger than the burst can still run.
    """

    def __init__(self) -> None:
        """Create a core without accounts."""
        self._accounts: dict[str, _Account] = {}

    def start(
        self, customer: str, rate: float, estimate: int, now: Milliseconds
    ) -> Milliseconds | None:
        """Charge a request, or return the wait in ms if it may not start.

        None means that the request was charged and may start.

        :param customer: customer of the request.
        :param rate: tokens/s of the customer at this daemon, above 0.
        :param estimate: estimated tokens of the request.
        :param now: current time.
        """
        account = self._refill(customer, rate, now)
        if account.balance > 0:
            account.balance -= estimate
            return None
        wait = -account.balance * _MILLISECONDS_PER_SECOND / rate
        return int(wait) + 1

    def settle(self, customer: str, unused: int) -> None:
        """Correct the balance after a request by its actual tokens.

        :param customer: customer of the ended request.
        :param unused: estimated minus actual tokens; may be negative.
        """
        account = self._accounts.get(customer)
        if account is not None:
            account.balance += unused

    def retain_accounts(self, customers: frozenset[str]) -> None:
        """Remove the accounts of all other customers.

        :param customers: customers that have a token rate limit.
        """
        for customer in self._accounts.keys() - customers:
            self._accounts.pop(customer)

    def _refill(
        self, customer: str, rate: float, now: Milliseconds
    ) -> _Account:
        burst = rate * _BURST_SECONDS
        account = self._accounts.setdefault(customer, _Account(burst, now))
        elapsed = now - account.updated
        account.updated = now
        added = rate * elapsed / _MILLISECONDS_PER_SECOND
        account.balance = min(burst, account.balance + added)
        return account
