"""Component that connects ``ControlNode`` to the network.

``ControlNode`` is the state machine of membership and configuration. A seed row
is a table row with the address of a daemon; a starting daemon contacts these
addresses first.
"""

import random
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import trio
import trio_asyncio
from absl import logging

from clementinedyke.clock import Clock, Milliseconds, MonotonicClock
from clementinedyke.components import Component
from clementinedyke.configuration.events import (
    ListAnswered,
    ListChanged,
    Poll,
    ReadList,
    RecordsChanged,
)
from clementinedyke.control.messages import Member, Message
from clementinedyke.daemons.links import LinkPool
from clementinedyke.daemons.options import ControlOptions
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.daemons.seed_rows import SeedRows
from clementinedyke.daemons.server import (
    ControlServer,
    bind_daemon_port,
    log_loop_error,
)
from clementinedyke.members.control_node import ControlNode
from clementinedyke.members.events import (
    Leave,
    MemberChanged,
    PayloadChanged,
    Publish,
    Received,
    Send,
    Tick,
)

_MILLISECONDS_PER_SECOND = 1000
#: Upper bound on closing connections, so that a stop is not held up.
_CLOSE_TIMEOUT_SECONDS = 3
#: Time for the leave message to be sent before the connections close.
_LEAVE_DELAY: Milliseconds = 200

Change = RecordsChanged | MemberChanged | PayloadChanged | ListChanged
Observer = Callable[[Change], None]


class ControlComponent(Component):
    """Runs the daemon port, the links to peers and the control node."""

    def __init__(
        self,
        create_member: Callable[[str], Member],
        reader: PlatformReader,
        options: ControlOptions,
        clock: Clock | None = None,
    ) -> None:
        """Create the component; nothing is opened yet.

        :param create_member: returns the member record of this daemon, given
            the address that the port is bound to.
        :param reader: client of the platform.
        :param options: address, credentials and limits of the daemon port.
        :param clock: clock of the process, by default a monotonic one.
        """
        #: Set once the port is bound, which proves that no earlier process
        #: listens on the address.
        self.bound = trio.Event()
        #: Address that the port is bound to, empty until it is bound.
        self.bound_address = ''
        self.node: ControlNode | None = None
        self.observers: list[Observer] = []
        self._create_member = create_member
        self._reader = reader
        self._options = options
        self._clock = clock or MonotonicClock()
        self._server = ControlServer(options, self._clock, self._receive)
        self._pool: LinkPool | None = None
        self._nursery: trio.Nursery | None = None

    @property
    def connections(self) -> int:
        """Number of open connections that were opened by peers."""
        return self._server.connections

    def count_living_daemons(self) -> int:
        """Return the number of living daemons, at least 1."""
        if self.node is None:
            return 1
        view = self.node.membership.view
        return max(1, len(view.table.list_ring()))

    def publish(self, topic: str, content: bytes) -> None:
        """Publish a small value to all daemons by gossip.

        :param topic: name of the topic.
        :param content: encoded value.
        """
        self._handle_event(Publish(topic, content))

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the daemon port and start the control node.

        :param nursery: nursery that runs the tasks.
        :raises OSError: if another process listens on the address.
        """
        options = self._options
        listener = bind_daemon_port(options.host, options.port)
        bound_host, bound_port = listener.getsockname()
        address = f'{bound_host}:{bound_port}'
        self.bound_address = address
        self.bound.set()
        logging.info('event=daemon_port_bound address=%s', address)
        seeds = (*options.seeds, *await self._reader.list_seeds())
        self.node = ControlNode(
            self._create_member(address),
            seeds,
            random.Random(address),
            options.membership,
            options.configuration,
        )
        self._nursery = nursery
        await nursery.start(self._run, address, listener)
        rows = SeedRows(self._reader, self.node, random.Random(address))
        nursery.start_soon(rows.run)

    async def drain(self) -> None:
        """Announce that this daemon leaves and remove its seed row."""
        self._handle_event(Leave())
        if self.node is not None:
            await self._reader.remove(self.node.membership.view.own)
        await trio.sleep(_LEAVE_DELAY / _MILLISECONDS_PER_SECOND)

    async def _run(
        self,
        address: str,
        listener: socket.socket,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with trio_asyncio.open_loop() as loop:
            loop.set_exception_handler(log_loop_error)
            pool = LinkPool(address, self._options, self._clock, self._receive)
            await trio_asyncio.aio_as_trio(self._server.start)(listener)
            self._pool = pool
            task_status.started()
            try:
                await self._tick_forever()
            finally:
                with trio.move_on_after(_CLOSE_TIMEOUT_SECONDS, shield=True):
                    await trio_asyncio.aio_as_trio(self._close)()

    async def _close(self) -> None:
        pool = self._pool
        self._pool = None
        if pool is not None:
            await pool.close()
        await self._server.close()

    async def _tick_forever(self) -> None:
        interval = self._options.membership.tick / _MILLISECONDS_PER_SECOND
        while True:
            self._handle_event(Tick())
            await trio.sleep(interval)

    def _receive(self, address: str, message: Message) -> None:
        self._handle_event(Received(address, message))

    def _handle_event(self, event: object) -> None:
        if self.node is None:
            return
        for action in self.node.handle(event, self._clock.get_now()):
            self._execute(action)

    def _execute(self, action: Any) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Poll):
            self._start_task(partial(self._poll, action))
        elif isinstance(action, ReadList):
            self._start_task(partial(self._read_list, action))
        else:
            for observer in self.observers:
                observer(action)

    def _start_task(self, task: Callable[[], Any]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(task)

    def _send(self, send: Send) -> None:
        pool = self._pool
        if pool is None:
            return
        # Without a link of its own, this daemon uses the connection that the
        # peer opened, and opens a link only if there is none.
        is_open = pool.has_link(send.address)
        if is_open or not self._server.send(send.address, send.message):
            pool.send(send.address, send.message)

    async def _poll(self, poll: Poll) -> None:
        self._handle_event(await self._reader.poll(poll))

    async def _read_list(self, read: ReadList) -> None:
        asked_at = self._clock.get_now()
        content = await self._reader.read_list(read.place)
        if content is not None:
            self._handle_event(ListAnswered(read.place, content, asked_at))
