"""Limits the tokens per second of each customer at this daemon."""

from clementinedyke.clock import Milliseconds

_MILLISECONDS_PER_SECOND = 1000
#: Unused tokens are saved up for so long.
_BURST_SECONDS = 2


class _Account:
    """Tokens that a customer may still use; negative after a long request."""

    __slots__ = ('balance', 'updated')

    def __init__(self, balance: float, now: Milliseconds) -> None:
        self.balance = balance
        self.updated = now


class TokenRateCore:
    """Accounts of customers, filled at a rate and charged by requests.

    A request starts when the balance is positive, whatever its size, and is
    charged with its estimate. When it ends, the difference to its actual
    tokens is settled. Over time a customer so gets its rate exactly, and a
    request larger than the burst can still run.
    """

    def __init__(self) -> None:
        """Create a core without accounts."""
        self._accounts: dict[str, _Account] = {}

    def start(
        self, customer: str, rate: float, estimate: int, now: Milliseconds
    ) -> Milliseconds | None:
        """Charge a request; return when to come back if it may not start.

        :param customer: customer of the request.
        :param rate: tokens/s of the customer at this daemon, above 0.
        :param estimate: expected tokens of the request.
        :param now: current time.
        """
        account = self._fill(customer, rate, now)
        if account.balance > 0:
            account.balance -= estimate
            return None
        wait = -account.balance * _MILLISECONDS_PER_SECOND / rate
        return int(wait) + 1

    def settle(self, customer: str, unused: int) -> None:
        """Give back the part of an estimate that was not used.

        :param customer: customer of an ended request.
        :param unused: estimated less actual tokens, may be negative.
        """
        account = self._accounts.get(customer)
        if account is not None:
            account.balance += unused

    def retain_accounts(self, customers: frozenset[str]) -> None:
        """Forget the accounts of other customers.

        :param customers: customers that have a limit.
        """
        for customer in self._accounts.keys() - customers:
            self._accounts.pop(customer)

    def _fill(self, customer: str, rate: float, now: Milliseconds) -> _Account:
        burst = rate * _BURST_SECONDS
        account = self._accounts.setdefault(customer, _Account(burst, now))
        elapsed = now - account.updated
        account.updated = now
        added = rate * elapsed / _MILLISECONDS_PER_SECOND
        account.balance = min(burst, account.balance + added)
        return account
