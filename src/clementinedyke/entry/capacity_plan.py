"""Plans how many cheap and standard engines run in each zone."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import (
    EntryEndpoint,
    EntryService,
    ScalingOptions,
)
from clementinedyke.entry.duty_types import CapacityOrder, OrderOutcome

#: Margin on top of the boot time after which an order is repeated if its
#: engines have not registered.
_REORDER_MARGIN: Milliseconds = 3000
#: Delay before an order that could not be met, or that failed, is repeated.
_RETRY_UNAVAILABLE: Milliseconds = 3000
_RETRY_FAILED: Milliseconds = 600

#: Share of a zone's maximum that is ordered as standard engines while no cheap
#: ones are available there. A standard engine costs four to five times as much.
_FALLBACK_SHARE = 0.6
#: Mean wait of a prompt at the prefill engines above which the service counts
#: as overloaded. Below half load the wait is under 50 ms; the latency
#: objectives are 500 ms and more.
_MAX_BACKLOG: Milliseconds = 150
#: Share of the planned cheap engines below which standard ones are kept or
#: ordered during overload. Losing one zone of four or five leaves more.
_OVERLOADED_SHARE = 0.7
#: Time, on top of the boot time, for which a service counts as overloaded after
#: the last long wait: reclaimed engines are missing for about 9 s.
_OVERLOAD_HOLD: Milliseconds = 6000

_OrderKey = tuple[str, str, bool]


@dataclass(frozen=True, slots=True)
class CapacityTargets:
    """How many cheap engines a service gets, as shares from 0 to 1.

    ``zone_share`` is the share of a zone's maximum that is ordered as cheap
    engines. ``safe_share`` is the share of all planned cheap engines that must
    be registered before standard engines are released.
    """

    zone_share: float
    safe_share: float


@dataclass(slots=True)
class _LastOrder:
    count: int
    retry_at: Milliseconds


class CapacityPlan:
    """Replaces standard engines with cheap ones spread over all zones.

    The platform reclaims cheap engines one zone at a time, while those in the
    other zones keep running. Standard engines are ordered only in zones where
    no cheap ones are available, and only if too few cheap engines are left.
    """

    def __init__(self, targets: CapacityTargets) -> None:
        """Create a plan without orders.

        :param targets: shares of cheap engines.
        """
        self._targets = targets
        self._orders: dict[_OrderKey, _LastOrder] = {}
        self._unavailable_until: dict[tuple[str, str], Milliseconds] = {}
        self._overloaded_until: dict[str, Milliseconds] = {}
        self._took_over_at: Milliseconds | None = None
        #: Whether standard engines are released before cheap ones serve.
        self.releases_standard_at_once = False

    def list_orders(
        self,
        service: EntryService,
        endpoints: Iterable[EntryEndpoint],
        now: Milliseconds,
        backlog: float = 0,
    ) -> list[CapacityOrder]:
        """Return the orders to send now; none if the service can't scale.

        :param service: service whose engines may be ordered.
        :param endpoints: all registered endpoints, leaving ones included.
        :param now: current instant.
        :param backlog: mean wait of a prompt at the prefill engines, in ms.
        """
        options = service.scaling
        if options is None:
            return []
        if backlog > _MAX_BACKLOG:
            until = now + options.boot_time + _OVERLOAD_HOLD
            self._overloaded_until[service.name] = until
        engine_counts = _count_engines(service.name, endpoints)
        orders = []
        for order in self._list_wanted(
            service.name, options, engine_counts, now
        ):
            order_key = (order.service, order.availability_zone, order.is_cheap)
            present = engine_counts[order.availability_zone, order.is_cheap]
            if self._is_due(order_key, order.count, present, now):
                orders.append(order)
        return orders

    def record_outcome(
        self,
        order: CapacityOrder,
        outcome: OrderOutcome,
        options: ScalingOptions,
        now: Milliseconds,
    ) -> None:
        """Record the outcome of an order, which sets when it may be repeated.

        :param order: order that was sent.
        :param outcome: outcome reported by the platform.
        :param options: scaling options of the service.
        :param now: current instant.
        """
        order_key = (order.service, order.availability_zone, order.is_cheap)
        retry_at = now + options.boot_time + _REORDER_MARGIN
        if outcome is OrderOutcome.UNAVAILABLE:
            retry_at = now + _RETRY_UNAVAILABLE
            if order.is_cheap:
                zone = (order.service, order.availability_zone)
                self._unavailable_until[zone] = retry_at
        elif outcome is not OrderOutcome.DONE:
            retry_at = now + _RETRY_FAILED
        self._orders[order_key] = _LastOrder(order.count, retry_at)

    def clear_orders(self, now: Milliseconds) -> None:
        """Clear the recorded orders when this daemon takes over the duties.

        Another daemon may have sent orders in the meantime. The former
        holder's wait times are not known here, so all services count as
        overloaded for a while and the standard engines it ordered are kept.

        :param now: current instant.
        """
        self._orders.clear()
        self._took_over_at = now

    def _is_due(
        self,
        order_key: _OrderKey,
        wanted: int,
        present: int,
        now: Milliseconds,
    ) -> bool:
        last = self._orders.get(order_key)
        if last is None:
            return wanted != present
        if last.count != wanted:
            return True
        return wanted != present and now >= last.retry_at

    def _list_wanted(
        self,
        service: str,
        options: ScalingOptions,
        engine_counts: Counter[tuple[str, bool]],
        now: Milliseconds,
    ) -> list[CapacityOrder]:
        if options.cheap_price is None or options.cheap_price >= 1:
            return []
        per_zone = math.ceil(options.maximum * self._targets.zone_share)
        keeps_standard = self._keeps_standard(
            options,
            engine_counts,
            per_zone,
            is_overloaded=self._is_overloaded(service, options, now),
        )
        fallback_count = math.ceil(options.maximum * _FALLBACK_SHARE)
        wanted_orders = []
        for zone in sorted(options.zone_prices):
            present = engine_counts[zone, False]
            standard = present if keeps_standard else 0
            if keeps_standard and now < self._unavailable_until.get(
                (service, zone), 0
            ):
                standard = max(present, fallback_count)
            remaining = max(0, options.maximum - present)
            cheap = min(per_zone, remaining)
            if cheap + standard < options.minimum:
                cheap = min(options.minimum, remaining)
            wanted_orders.append(CapacityOrder(service, zone, True, cheap))
            if standard != present:
                wanted_orders.append(
                    CapacityOrder(service, zone, False, standard)
                )
        return wanted_orders

    def _is_overloaded(
        self, service: str, options: ScalingOptions, now: Milliseconds
    ) -> bool:
        """Return whether prompts have waited too long recently."""
        if now < self._overloaded_until.get(service, now):
            return True
        if self._took_over_at is None:
            return False
        return now < self._took_over_at + options.boot_time + _OVERLOAD_HOLD

    def _keeps_standard(
        self,
        options: ScalingOptions,
        engine_counts: Counter[tuple[str, bool]],
        per_zone: int,
        *,
        is_overloaded: bool,
    ) -> bool:
        """Return whether too few cheap engines run to release standard ones."""
        if self.releases_standard_at_once:
            return False
        cheap_total = sum(
            count for (_, is_cheap), count in engine_counts.items() if is_cheap
        )
        wanted = per_zone * len(options.zone_prices)
        safe_share = self._targets.safe_share
        if is_overloaded:
            safe_share = max(safe_share, _OVERLOADED_SHARE)
        return cheap_total < wanted * safe_share


def _count_engines(
    service: str, endpoints: Iterable[EntryEndpoint]
) -> Counter[tuple[str, bool]]:
    """Return the number of engines by zone and whether they are cheap.

    Leaving engines are not counted.
    """
    return Counter(
        (endpoint.availability_zone, endpoint.is_cheap)
        for endpoint in endpoints
        if endpoint.service == service and not endpoint.is_leaving
    )
