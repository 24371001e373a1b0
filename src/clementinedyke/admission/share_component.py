"""Exchanges the token consumption of customers between daemons."""

import trio

from clementinedyke.admission.component import AdmissionComponent
from clementinedyke.admission.shares import (
    SHARES_TOPIC,
    ConsumptionTotals,
    PeerTotals,
)
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.configuration.component import ConfigurationComponent
from clementinedyke.control.messages import Payload
from clementinedyke.daemons import ControlComponent
from clementinedyke.daemons.component import Change
from clementinedyke.http.message import RequestError
from clementinedyke.members.events import MemberChanged, PayloadChanged

_MIN_INTERVAL: Milliseconds = 500
#: Limits the traffic, since each published value is sent to every daemon: 330
#: daemons that publish 120 bytes every 13 s cause 3 KB/s at each of them.
_INTERVAL_PER_DAEMON: Milliseconds = 40
_MILLISECONDS_PER_SECOND = 1000


class ShareComponent(Component):
    """Publishes local consumption and applies that of other daemons."""

    def __init__(
        self,
        control: ControlComponent,
        admission: AdmissionComponent,
        configuration: ConfigurationComponent,
        clock: Clock,
    ) -> None:
        """Create the component and subscribe to published values.

        :param control: publishes values and receives those of other daemons.
        :param admission: provides and receives consumption.
        :param configuration: provides the names of services and customers.
        :param clock: clock of this process.
        """
        self._control = control
        self._admission = admission
        self._configuration = configuration
        self._clock = clock
        self._own_totals = ConsumptionTotals()
        self._peer_totals = PeerTotals()
        control.observers.append(self._observe)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task that publishes consumption.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(self._run_publisher)

    async def _run_publisher(self) -> None:
        while True:
            interval = max(
                _MIN_INTERVAL,
                self._control.count_living_daemons() * _INTERVAL_PER_DAEMON,
            )
            await trio.sleep(interval / _MILLISECONDS_PER_SECOND)
            now = self._clock.get_now()
            consumed = self._admission.core.pop_consumption(now)
            if consumed:
                self._control.publish(
                    SHARES_TOPIC, self._own_totals.encode(consumed)
                )

    def _observe(self, change: Change) -> None:
        if isinstance(change, MemberChanged):
            if not change.member.is_living:
                self._peer_totals.remove_daemon(change.member.daemon_id)
        elif isinstance(change, PayloadChanged):
            if change.payload.topic == SHARES_TOPIC:
                self._receive(change.payload)

    def _receive(self, payload: Payload) -> None:
        try:
            self._peer_totals.update_names(self._configuration.get_directory())
        except RequestError:
            return
        for consumed in self._peer_totals.compute_consumption(payload):
            self._admission.receive_consumption(consumed)
