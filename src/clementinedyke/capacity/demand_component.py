"""Publishes the demand at this daemon to the other daemons."""

import trio

from clementinedyke.callers import RequestContext
from clementinedyke.capacity.demand import (
    DEMAND_TOPIC,
    Demand,
    DemandMeter,
    encode_demands,
    sum_demand,
)
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.daemons import ControlComponent

_INTERVAL: Milliseconds = 2000
#: Every payload reaches every daemon, so the interval grows with their number:
#: 330 daemons publishing 120 bytes every 10 s send 4 KB/s to each of them.
_INTERVAL_PER_DAEMON: Milliseconds = 30
_MILLISECONDS_PER_SECOND = 1000


class DemandComponent(Component):
    """Measures the demand per service, publishes it and sums all daemons."""

    def __init__(self, control: ControlComponent, clock: Clock) -> None:
        """Create the component.

        :param control: publishes payloads and receives those of others.
        :param clock: clock of the process.
        """
        self._control = control
        self._clock = clock
        self._meter = DemandMeter()
        self._published = b''

    def observe_arrival(self, context: RequestContext) -> None:
        """Record the arrival of a caller's request.

        :param context: context of the request.
        """
        work = context.work
        self._meter.add(
            context.route.service.name,
            work.prompt_tokens,
            work.output_tokens,
            self._clock.get_now(),
        )

    def get_demand(self, service: str) -> Demand:
        """Return the demand of a service summed over all living daemons.

        :param service: name of the service.
        """
        own = self._meter.get_demands(self._clock.get_now())
        total = own.get(service, Demand())
        node = self._control.node
        if node is None:
            return total
        view = node.membership.view
        living = {member.daemon_id for member in view.table.list_ring()}
        living.discard(view.own.daemon_id)
        others = [
            payload
            for payload in view.payloads.list_topic(DEMAND_TOPIC)
            if payload.daemon_id in living
        ]
        return total + sum_demand(service, others)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start publishing the demand periodically.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(self._publish_periodically)

    async def _publish_periodically(self) -> None:
        while True:
            demands = self._meter.get_demands(self._clock.get_now())
            content = encode_demands(demands)
            if content != self._published:
                self._control.publish(DEMAND_TOPIC, content)
                self._published = content
            interval = max(
                _INTERVAL,
                self._control.count_living_daemons() * _INTERVAL_PER_DAEMON,
            )
            await trio.sleep(interval / _MILLISECONDS_PER_SECOND)
