"""Consumption of customers, as daemons tell one another of it.

A receiver may skip values, so each carries totals since the start of the
daemon, and the receiver takes the differences. Of a customer that it has not
seen at that daemon it takes what was consumed since the last value, because
the total may be hours old.
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
    """Totals of this daemon."""

    def __init__(self) -> None:
        """Create totals of zero."""
        self._totals: dict[bytes, int] = {}

    def encode(self, consumed: Iterable[RemoteConsumption]) -> bytes:
        """Add consumption and return a value with its largest customers.

        :param consumed: tokens by service and customer since the last call.
        """
        recent: dict[str, float] = {}
        for message in consumed:
            for item in message.consumed:
                digest = compute_digest(message.service, item.customer)
                recent[digest.hex()] = item.tokens
                known = self._totals.get(digest, 0)
                self._totals[digest] = known + round(item.tokens)
        largest = map(bytes.fromhex, select_largest(recent, _CODEC.capacity))
        return _CODEC.encode(
            (digest, (self._totals[digest], round(recent[digest.hex()])))
            for digest in largest
        )


class PeerTotals:
    """Totals that the other daemons published last."""

    def __init__(self) -> None:
        """Create totals without daemons."""
        self._totals: dict[str, dict[bytes, int]] = {}
        self._names: dict[bytes, tuple[str, str]] = {}
        self._revision = -1

    def update_names(self, directory: Directory) -> None:
        """Learn the names of services and customers.

        :param directory: records in force.
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
        """Drop the totals of a daemon that has ended.

        :param daemon_id: daemon whose next run begins at zero.
        """
        self._totals.pop(daemon_id, None)

    def compute_consumption(self, payload: Payload) -> list[RemoteConsumption]:
        """Return what a daemon's customers consumed since its last value.

        :param payload: value that the daemon published.
        """
        totals = self._totals.setdefault(payload.daemon_id, {})
        consumed: dict[str, list[CustomerTokens]] = defaultdict(list)
        for digest, (total, recent) in _CODEC.decode(payload.content):
            before = totals.get(digest, total - recent)
            totals[digest] = total
            # A lower total is that of a new run.
            tokens = total - before if total >= before else total
            name = self._names.get(digest)
            if tokens and name is not None:
                consumed[name[0]].append(CustomerTokens(name[1], tokens))
        return list(_compile_messages(consumed))


def _compile_messages(
    consumed: dict[str, list[CustomerTokens]],
) -> Iterator[RemoteConsumption]:
    for service, items in consumed.items():
        yield RemoteConsumption(service, tuple(items))
