"""Plans which engines read prompts and which generate."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.duty_types import StageOrder

#: A changed engine is away for seconds and its entry lags; an order that has
#: not shown by then is taken as lost.
_CHANGE_TIME: Milliseconds = 8000


class StagePlan:
    """Keeps a part of a service's engines generating, the others reading."""

    def __init__(self, decode_share: float) -> None:
        """Create a plan without changes.

        :param decode_share: part of the engines that generates.
        """
        self._decode_share = decode_share
        self._pending: dict[str, tuple[Stage, Milliseconds]] = {}

    def list_orders(
        self,
        service: str,
        endpoints: Iterable[EntryEndpoint],
        now: Milliseconds,
    ) -> list[StageOrder]:
        """Return the changes of stage that are due.

        :param service: name of the service.
        :param endpoints: all endpoints as they have registered themselves.
        :param now: current instant.
        """
        engines = [
            self._foresee(endpoint, now)
            for endpoint in endpoints
            if endpoint.service == service
            and endpoint.stage is not None
            and not endpoint.is_leaving
        ]
        orders: list[StageOrder] = []
        while len(engines) > 1:
            order = self._select_change(engines)
            if order is None:
                break
            changed = replace(order.endpoint, stage=order.stage)
            engines[engines.index(order.endpoint)] = changed
            orders.append(order)
        return orders

    def record_sent(self, order: StageOrder, now: Milliseconds) -> None:
        """Take that an order has been sent.

        Its engine counts with the new stage until its entry shows it.

        :param order: order that may take effect.
        :param now: current instant.
        """
        self._pending[order.endpoint.run_id] = (
            order.stage,
            now + _CHANGE_TIME,
        )

    def _foresee(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> EntryEndpoint:
        pending = self._pending.get(endpoint.run_id)
        if pending is None:
            return endpoint
        stage, until = pending
        if now >= until or endpoint.stage is stage:
            self._pending.pop(endpoint.run_id)
            return endpoint
        return replace(endpoint, stage=stage)

    def _select_change(self, engines: list[EntryEndpoint]) -> StageOrder | None:
        wanted = self._count_wanted(engines)
        decoding = [item for item in engines if item.stage is Stage.DECODE]
        reading = [item for item in engines if item.stage is Stage.PREFILL]
        if len(decoding) < wanted:
            chosen = _select_by_zone(reading, decoding, is_fullest=False)
            return StageOrder(chosen, Stage.DECODE)
        if len(decoding) > wanted:
            chosen = _select_by_zone(decoding, decoding, is_fullest=True)
            return StageOrder(chosen, Stage.PREFILL)
        return None

    def _count_wanted(self, engines: list[EntryEndpoint]) -> int:
        """Return how many engines shall generate.

        A zone that is cut off goes on with its own engines, and memory moves
        at half the speed between zones: each zone with two engines has one
        that generates.
        """
        zones = Counter(item.availability_zone for item in engines)
        paired = sum(1 for count in zones.values() if count > 1)
        share = math.ceil(len(engines) * self._decode_share)
        return min(max(1, share, paired), len(engines) - 1)


def _select_by_zone(
    candidates: list[EntryEndpoint],
    counted: list[EntryEndpoint],
    *,
    is_fullest: bool,
) -> EntryEndpoint:
    """Return a candidate of the zone with the most or fewest counted ones."""
    zones = Counter(item.availability_zone for item in counted)
    sign = -1 if is_fullest else 1
    return min(
        candidates,
        key=lambda item: (
            sign * zones[item.availability_zone],
            item.endpoint_id,
        ),
    )
