"""Encoding of the token consumption that daemons publish to each other.

A receiver may miss values, so each value carries totals since the start of the
daemon, and the receiver computes the differences. For a customer without a
known total at that daemon it uses the tokens since the previous value, which
are sent as well, because the total may cover hours.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from clementinedyke.admission.events import CustomerTokens, RemoteConsumption
from clementinedyke.control.digest_values import (
    AmountCodec,
    compute_digest,
    select_largest,
)
from clementinedyke.control.messages import Payload
from clementinedyke.records.directory import Directory

SHARES_TOPIC = 'shares'
_CODEC = AmountCodec(amounts=2)


class ConsumptionTotals:
    """Tokens by service and customer since the start of this daemon."""

    def __init__(self) -> None:
        """Create empty totals."""
        self._totals: dict[bytes, int] = {}

    def encode(self, consumed: Iterable[RemoteConsumption]) -> bytes:
        """Add consumption and return the encoded value to publish.

        It holds the largest consumers since the last call, as many as fit.

        :param consumed: tokens by service and customer since the last call.
        """
        recent: dict[str, float] = {}
        for message in consumed:
            for item in message.consumed:
                digest = compute_digest(message.service, item.customer)
                recent[digest.hex()] = item.tokens
                previous_total = self._totals.get(digest, 0)
                self._totals[digest] = previous_total + round(item.tokens)
        largest = map(bytes.fromhex, select_largest(recent, _CODEC.capacity))
        return _CODEC.encode(
            (digest, (self._totals[digest], round(recent[digest.hex()])))
            for digest in largest
        )


class PeerTotals:
    """Latest totals that the other daemons published."""

    def __init__(self) -> None:
        """Create empty totals."""
        self._totals: dict[str, dict[bytes, int]] = {}
        self._names: dict[bytes, tuple[str, str]] = {}
        self._revision = -1

    def update_names(self, directory: Directory) -> None:
        """Update the names by which received digests are resolved.

        :param directory: current records.
        """
        if directory.revision == self._revision:
            return
        self._revision = directory.revision
        customers = ('', *directory.customers)
        self._names = {
            compute_digest(service, customer): (service, customer)
            for service in directory.services
            for customer in customers
        }

    def remove_daemon(self, daemon_id: str) -> None:
        """Remove the totals of a daemon that is no longer alive.

        :param daemon_id: daemon; its totals restart at zero with its next run.
        """
        self._totals.pop(daemon_id, None)

    def compute_consumption(self, payload: Payload) -> list[RemoteConsumption]:
        """Return the consumption at a daemon since its last received value.

        Customers and services without a known name are left out.

        :param payload: value that the daemon published.
        """
        totals = self._totals.setdefault(payload.daemon_id, {})
        consumed: dict[str, list[CustomerTokens]] = defaultdict(list)
        for digest, (total, recent) in _CODEC.decode(payload.content):
            previous = totals.get(digest, total - recent)
            totals[digest] = total
            # A lower total means that the daemon was restarted.
            tokens = total - previous if total >= previous else total
            name = self._names.get(digest)
            if tokens and name is not None:
                consumed[name[0]].append(CustomerTokens(name[1], tokens))
        return list(_compile_messages(consumed))


def _compile_messages(
    consumed: dict[str, list[CustomerTokens]],
) -> Iterator[RemoteConsumption]:
    for service, items in consumed.items():
        yield RemoteConsumption(service, tuple(items))
