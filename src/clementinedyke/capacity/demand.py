"""Measures the work offered by callers and encodes it for other daemons."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.control.digest_values import (
    AmountCodec,
    compute_digest,
    select_largest,
)
from clementinedyke.control.messages import Payload

DEMAND_TOPIC = 'demand'
#: Requests arrive at random; over shorter windows the rates are mostly noise.
_WINDOW: Milliseconds = 10_000
_MILLISECONDS_PER_SECOND = 1000
_CODEC = AmountCodec(amounts=2)


@dataclass(frozen=True, slots=True)
class Demand:
    """Work offered by callers in tokens/s."""

    prompt_rate: float = 0
    output_rate: float = 0

    def __add__(self, other: 'Demand') -> 'Demand':
        """Return the sum of two demands, rate by rate.

        :param other: demand to add.
        """
        return Demand(
            self.prompt_rate + other.prompt_rate,
            self.output_rate + other.output_rate,
        )


@dataclass(frozen=True, slots=True)
class _Arrival:
    at: Milliseconds
    service: str
    prompt_tokens: int
    output_tokens: int


class DemandMeter:
    """Measures the rate of work arriving at this daemon.

    Refused requests are included.
    """

    def __init__(self) -> None:
        """Create a meter without arrivals."""
        self._arrivals: deque[_Arrival] = deque()

    def add(
        self,
        service: str,
        prompt_tokens: int,
        output_tokens: int,
        now: Milliseconds,
    ) -> None:
        """Record the arrival of a request.

        :param service: name of the service.
        :param prompt_tokens: estimated tokens of the prompt.
        :param output_tokens: estimated tokens of the answer.
        :param now: time of arrival in milliseconds.
        """
        self._arrivals.append(
            _Arrival(now, service, prompt_tokens, output_tokens)
        )
        self._remove_expired(now)

    def get_demands(self, now: Milliseconds) -> dict[str, Demand]:
        """Return the demand per service, averaged over the last 10 s.

        :param now: current time in milliseconds.
        """
        self._remove_expired(now)
        seconds = _WINDOW / _MILLISECONDS_PER_SECOND
        demands: dict[str, Demand] = {}
        for arrival in self._arrivals:
            added = Demand(
                arrival.prompt_tokens / seconds, arrival.output_tokens / seconds
            )
            known = demands.get(arrival.service, Demand())
            demands[arrival.service] = known + added
        return demands

    def _remove_expired(self, now: Milliseconds) -> None:
        while self._arrivals and self._arrivals[0].at < now - _WINDOW:
            self._arrivals.popleft()


def encode_demands(demands: dict[str, Demand]) -> bytes:
    """Return the encoded payload of the demand topic.

    Only the services with the highest rates are included if the payload
    cannot hold all of them.

    :param demands: demand at this daemon per service.
    """
    rates = {
        service: demand.prompt_rate + demand.output_rate
        for service, demand in demands.items()
    }
    return _CODEC.encode(
        (
            compute_digest(service),
            (
                round(demands[service].prompt_rate),
                round(demands[service].output_rate),
            ),
        )
        for service in select_largest(rates, _CODEC.capacity)
    )


def sum_demand(service: str, payloads: Iterable[Payload]) -> Demand:
    """Return the demand of a service summed over several daemons.

    :param service: name of the service.
    :param payloads: payloads of the demand topic, one per daemon.
    """
    digest = compute_digest(service)
    total = Demand()
    for payload in payloads:
        for published, amounts in _CODEC.decode(payload.content):
            if published == digest:
                total += Demand(*amounts)
    return total
