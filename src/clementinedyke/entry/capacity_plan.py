"""Plans how many engines of each kind stand in each availability zone."""

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

#: An order is repeated if the engines do not stand this long after the time
#: that they take to start.
_REPEAT_SLACK: Milliseconds = 3000
#: Wait before an order that could not be met is tried again.
_RETRY_UNAVAILABLE: Milliseconds = 3000
_RETRY_FAILED: Milliseconds = 600

#: Part of a zone's engines that standard ones stand in for while no cheap ones
#: are to be had there; a standard engine costs four to five times as much.
_STAND_IN_SHARE = 0.6
#: Mean wait of a prompt at the reading engines above which lost engines are
#: missed. Below half of the load it is under 50 ms; the objectives are 500 ms
#: and more.
_MAX_BACKLOG: Milliseconds = 150
#: Part of the cheap engines below which they are missed while prompts wait. One
#: zone of four or five that is reclaimed leaves more.
_PRESSED_SHARE = 0.7
#: Engines are taken as missed for this time after the last such wait, beyond
#: the time that engines take to start: reclaimed ones are away for about 9 s.
_PRESSURE_TIME: Milliseconds = 6000

_Subject = tuple[str, str, bool]


@dataclass(frozen=True, slots=True)
class CapacityTargets:
    """How many engines a service needs.

    ``zone_share`` of the engines that may be ordered in a zone are ordered
    there as cheap ones. ``safe_share`` of all these must serve before
    standard ones are given back.
    """

    zone_share: float
    safe_share: float


@dataclass(slots=True)
class _LastOrder:
    count: int
    retry_at: Milliseconds


class CapacityPlan:
    """Replaces standard engines by cheap ones spread over all zones.

    Cheap engines are reclaimed a zone at a time; the ones in the other zones
    carry on, and standard engines are ordered only where no cheap ones are to
    be had and too few engines are left.
    """

    def __init__(self, targets: CapacityTargets) -> None:
        """Create a plan without orders.

        :param targets: engines that are wanted.
        """
        self._targets = targets
        self._orders: dict[_Subject, _LastOrder] = {}
        self._unavailable: dict[tuple[str, str], Milliseconds] = {}
        self._pressed_until: dict[str, Milliseconds] = {}
        self._begun_at: Milliseconds | None = None
        #: Standard engines are given back before the cheap ones serve.
        self.releases_standard_at_once = False

    def list_orders(
        self,
        service: EntryService,
        endpoints: Iterable[EntryEndpoint],
        now: Milliseconds,
        backlog: float = 0,
    ) -> list[CapacityOrder]:
        """Return the orders that are due.

        :param service: service whose engines may be ordered.
        :param endpoints: all endpoints as they have registered themselves.
        :param now: current instant.
        :param backlog: mean wait of a prompt at its reading engines in ms.
        """
        offer = service.scaling
        if offer is None:
            return []
        if backlog > _MAX_BACKLOG:
            until = now + offer.boot_time + _PRESSURE_TIME
            self._pressed_until[service.name] = until
        standing = _count_standing(service.name, endpoints)
        orders = []
        for order in self._list_wishes(service.name, offer, standing, now):
            subject = (order.service, order.availability_zone, order.is_cheap)
            present = standing[order.availability_zone, order.is_cheap]
            if self._is_due(subject, order.count, present, now):
                orders.append(order)
        return orders

    def record_outcome(
        self,
        order: CapacityOrder,
        outcome: OrderOutcome,
        offer: ScalingOptions,
        now: Milliseconds,
    ) -> None:
        """Take what became of an order.

        :param order: order that was sent.
        :param outcome: answer of the platform.
        :param offer: bounds of the service.
        :param now: current instant.
        """
        subject = (order.service, order.availability_zone, order.is_cheap)
        retry_at = now + offer.boot_time + _REPEAT_SLACK
        if outcome is OrderOutcome.UNAVAILABLE:
            retry_at = now + _RETRY_UNAVAILABLE
            if order.is_cheap:
                zone = (order.service, order.availability_zone)
                self._unavailable[zone] = retry_at
        elif outcome is not OrderOutcome.DONE:
            retry_at = now + _RETRY_FAILED
        self._orders[subject] = _LastOrder(order.count, retry_at)

    def clear_orders(self, now: Milliseconds) -> None:
        """Forget what was ordered; another daemon may have ordered since.

        What the former holder knew of waits is lost with it, so that its
        stand-ins are kept for a while.

        :param now: current instant.
        """
        self._orders.clear()
        self._begun_at = now

    def _is_due(
        self,
        subject: _Subject,
        wanted: int,
        present: int,
        now: Milliseconds,
    ) -> bool:
        last = self._orders.get(subject)
        if last is None:
            return wanted != present
        if last.count != wanted:
            return True
        return wanted != present and now >= last.retry_at

    def _list_wishes(
        self,
        service: str,
        offer: ScalingOptions,
        standing: Counter[tuple[str, bool]],
        now: Milliseconds,
    ) -> list[CapacityOrder]:
        if offer.cheap_price is None or offer.cheap_price >= 1:
            return []
        per_zone = math.ceil(offer.maximum * self._targets.zone_share)
        keeps_standard = self._keeps_standard(
            offer,
            standing,
            per_zone,
            is_pressed=self._is_pressed(service, offer, now),
        )
        stand_ins = math.ceil(offer.maximum * _STAND_IN_SHARE)
        wishes = []
        for zone in sorted(offer.zone_prices):
            present = standing[zone, False]
            standard = present if keeps_standard else 0
            if keeps_standard and now < self._unavailable.get(
                (service, zone), 0
            ):
                standard = max(present, stand_ins)
            room = max(0, offer.maximum - present)
            cheap = min(per_zone, room)
            if cheap + standard < offer.minimum:
                cheap = min(offer.minimum, room)
            wishes.append(CapacityOrder(service, zone, True, cheap))
            if standard != present:
                wishes.append(CapacityOrder(service, zone, False, standard))
        return wishes

    def _is_pressed(
        self, service: str, offer: ScalingOptions, now: Milliseconds
    ) -> bool:
        """Tell whether prompts have waited too long of late."""
        if now < self._pressed_until.get(service, now):
            return True
        if self._begun_at is None:
            return False
        return now < self._begun_at + offer.boot_time + _PRESSURE_TIME

    def _keeps_standard(
        self,
        offer: ScalingOptions,
        standing: Counter[tuple[str, bool]],
        per_zone: int,
        *,
        is_pressed: bool,
    ) -> bool:
        """Tell whether too few cheap engines serve to go without others."""
        if self.releases_standard_at_once:
            return False
        cheap_total = sum(
            count for (_, is_cheap), count in standing.items() if is_cheap
        )
        wanted = per_zone * len(offer.zone_prices)
        safe_share = self._targets.safe_share
        if is_pressed:
            safe_share = max(safe_share, _PRESSED_SHARE)
        return cheap_total < wanted * safe_share


def _count_standing(
    service: str, endpoints: Iterable[EntryEndpoint]
) -> Counter[tuple[str, bool]]:
    """Return engines that are not leaving, by zone and kind."""
    return Counter(
        (endpoint.availability_zone, endpoint.is_cheap)
        for endpoint in endpoints
        if endpoint.service == service and not endpoint.is_leaving
    )
