"""Plans which engines run prefill and which run decode."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.duty_types import StageOrder

#: Time after which an order without visible effect counts as lost. An engine
#: that changes its stage is unavailable for seconds, and its entry in the store
#: is updated with a delay.
_ORDER_TIMEOUT: Milliseconds = 8000
#: Slots on decode for each engine of the service. Engines with few slots are
#: full long before their steps grow longer, and reject streams then.
_DECODE_SLOTS_PER_ENGINE = 3
_MAX_DECODE_SHARE = 0.5


class StagePlan:
    """Keeps a share of a service's engines on decode, the rest on prefill.

    The share is larger if the engines have few slots.
    """

    def __init__(self, decode_share: float) -> None:
        """Create a plan without pending orders.

        :param decode_share: share of engines with many slots that are on
            decode, from 0 to 1.
        """
        self._decode_share = decode_share
        self._pending: dict[str, tuple[Stage, Milliseconds]] = {}

    def list_orders(
        self,
        service: str,
        endpoints: Iterable[EntryEndpoint],
        now: Milliseconds,
    ) -> list[StageOrder]:
        """Return the stage changes to order now.

        :param service: name of the service.
        :param endpoints: all registered endpoints, leaving ones included.
        :param now: current instant.
        """
        engines = [
            self._apply_pending(endpoint, now)
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
        """Record that an order is being sent.

        Until the engine's entry shows the new stage or the order times out,
        the engine is counted under the new stage.

        :param order: order that may take effect.
        :param now: current instant.
        """
        self._pending[order.endpoint.run_id] = (
            order.stage,
            now + _ORDER_TIMEOUT,
        )

    def _apply_pending(
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
        prefilling = [item for item in engines if item.stage is Stage.PREFILL]
        if len(decoding) < wanted:
            chosen = _select_by_zone(prefilling, decoding, is_fullest=False)
            return StageOrder(chosen, Stage.DECODE)
        if len(decoding) > wanted:
            chosen = _select_by_zone(decoding, decoding, is_fullest=True)
            return StageOrder(chosen, Stage.PREFILL)
        return None

    def _count_wanted(self, engines: list[EntryEndpoint]) -> int:
        """Return how many engines should run decode.

        Each zone with two or more engines gets one on decode, so that a zone
        that is cut off from the others can still serve. KV caches also
        transfer at half the speed between zones.
        """
        zones = Counter(item.availability_zone for item in engines)
        paired = sum(1 for count in zones.values() if count > 1)
        share = math.ceil(len(engines) * self._get_share(engines))
        return min(max(1, share, paired), len(engines) - 1)

    def _get_share(self, engines: list[EntryEndpoint]) -> float:
        slots = sum(item.slots for item in engines) / len(engines)
        needed = min(_MAX_DECODE_SHARE, _DECODE_SLOTS_PER_ENGINE / slots)
        return max(self._decode_share, needed)


def _select_by_zone(
    candidates: list[EntryEndpoint],
    counted: list[EntryEndpoint],
    *,
    is_fullest: bool,
) -> EntryEndpoint:
    """Return a candidate from the zone with the most or fewest engines.

    :param candidates: engines to choose from.
    :param counted: engines whose number per zone is compared.
    :param is_fullest: whether the zone with the most of them is preferred.
    """
    zones = Counter(item.availability_zone for item in counted)
    sign = -1 if is_fullest else 1
    return min(
        candidates,
        key=lambda item: (
            sign * zones[item.availability_zone],
            item.endpoint_id,
        ),
    )
