"""Plans which engines read prompts and which generate."""

import math
from collections import Counter
from collections.abc import Iterable

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.duty_types import StageOrder

#: A changed engine is away for seconds; the next change of the service waits
#: until its entry shows the new stage, or for this time.
_CHANGE_TIME: Milliseconds = 8000


class StagePlan:
    """Keeps a part of a service's engines generating, the others reading."""

    def __init__(self, decode_share: float) -> None:
        """Create a plan without changes.

        :param decode_share: part of the engines that generates.
        """
        self._decode_share = decode_share
        self._pending: dict[str, tuple[str, Stage, Milliseconds]] = {}

    def list_orders(
        self,
        service: str,
        endpoints: Iterable[EntryEndpoint],
        now: Milliseconds,
    ) -> list[StageOrder]:
        """Return the change of stage that is due, if one is.

        :param service: name of the service.
        :param endpoints: all endpoints as they have registered themselves.
        :param now: current instant.
        """
        engines = [
            endpoint
            for endpoint in endpoints
            if endpoint.service == service
            and endpoint.stage is not None
            and not endpoint.is_leaving
        ]
        if len(engines) < 2 or self._is_changing(service, engines, now):
            return []
        order = self._select_change(engines)
        if order is None:
            return []
        self._pending[service] = (
            order.endpoint.run_id,
            order.stage,
            now + _CHANGE_TIME,
        )
        return [order]

    def _is_changing(
        self, service: str, engines: list[EntryEndpoint], now: Milliseconds
    ) -> bool:
        pending = self._pending.get(service)
        if pending is None:
            return False
        run_id, stage, until = pending
        is_done = any(
            engine.run_id == run_id and engine.stage is stage
            for engine in engines
        )
        if is_done or now >= until:
            self._pending.pop(service)
            return False
        return True

    def _select_change(self, engines: list[EntryEndpoint]) -> StageOrder | None:
        wanted = self._count_wanted(engines)
        decoding = [item for item in engines if item.stage is Stage.DECODE]
        if len(decoding) < wanted:
            reading = [item for item in engines if item.stage is Stage.PREFILL]
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
