"""Message streams to and from peers, each with a bounded send queue.

This module and ``server`` run in the asyncio loop of trio-asyncio.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel, StreamStreamMethod
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.control.messages import Message
from clementinedyke.daemons.codec import ControlCodec, receive_message
from clementinedyke.daemons.options import ControlOptions
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address

EXCHANGE_METHOD = '/clementinedyke.Control/Exchange'
ADDRESS_HEADER = 'daemon-address'
SECRET_HEADER = 'cluster-secret'
#: Flow-control window, the smallest that HTTP/2 allows for a connection. Limits
#: the bytes that are buffered when a receiver stops reading.
WINDOW_BYTES = 65535
_QUEUE_LENGTH = 64
_MILLISECONDS_PER_SECOND = 1000
#: Errors of a broken link. AssertionError is included because grpclib asserts
#: that frames are complete.
LINK_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    AssertionError,
    asyncio.TimeoutError,
)

Receiver = Callable[[str, Message], None]


def create_http2_configuration() -> Configuration:
    """Return the HTTP/2 settings that clients and servers use."""
    return Configuration(
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )


class Link:
    """Send queue of a peer, and since when the peer has not answered."""

    def __init__(self) -> None:
        """Create an open link with an empty queue."""
        self.queue: asyncio.Queue[Message] = asyncio.Queue(_QUEUE_LENGTH)
        #: Time of the first message queued since the peer was last heard.
        self.unanswered_since: Milliseconds | None = None
        self.task: asyncio.Task[None] | None = None

    def put(self, message: Message, now: Milliseconds) -> None:
        """Queue a message, or drop it if the queue is full.

        :param message: message for the peer.
        :param now: current time in milliseconds.
        """
        if self.unanswered_since is None:
            self.unanswered_since = now
        if not self.queue.full():
            self.queue.put_nowait(message)

    def is_silent(self, now: Milliseconds, limit: Milliseconds) -> bool:
        """Return whether the peer has not answered for longer than a limit.

        :param now: current time in milliseconds.
        :param limit: longest accepted time without a message from the peer,
            in milliseconds.
        """
        return (
            self.unanswered_since is not None
            and now - self.unanswered_since > limit
        )

    def close(self) -> None:
        """Cancel the task that serves the link."""
        if self.task is not None:
            self.task.cancel()

    async def send_all(self, stream: Any) -> None:
        """Send queued messages until the task is cancelled.

        :param stream: grpclib stream.
        """
        while True:
            await stream.send_message(await self.queue.get())

    async def serve(
        self, stream: Any, codec: ControlCodec, receive: Callable[[Any], None]
    ) -> None:
        """Send and receive messages until the peer ends the stream.

        :param stream: grpclib stream.
        :param codec: codec of the messages.
        :param receive: called with each received message.
        """
        sender = asyncio.ensure_future(self.send_all(stream))
        try:
            await self._receive_all(stream, codec, receive)
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)

    async def _receive_all(
        self, stream: Any, codec: ControlCodec, receive: Callable[[Any], None]
    ) -> None:
        while True:
            message = await receive_message(stream, codec)
            if message is None:
                return
            self.unanswered_since = None
            receive(message)


class LinkPool:
    """Links that this daemon opened.

    When the limit is reached, opening a link closes the least recently used
    one.
    """

    def __init__(
        self,
        own_address: str,
        options: ControlOptions,
        clock: Clock,
        receive: Receiver,
    ) -> None:
        """Create an empty pool in the running asyncio loop.

        :param own_address: daemon address of this daemon, sent to peers.
        :param options: limits and credentials.
        :param clock: clock of the process.
        :param receive: called with the peer's address and each message.
        """
        self._options = options
        self._clock = clock
        self._receive = receive
        # Messages are also sent from trio tasks, where asyncio has no current
        # loop.
        self._loop = asyncio.get_event_loop()
        self._codec = ControlCodec()
        self._context = options.create_client_context()
        self._metadata = {ADDRESS_HEADER: own_address}
        if options.secret:
            # grpclib refuses to send an empty header.
            self._metadata[SECRET_HEADER] = options.secret
        self._links: OrderedDict[str, Link] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._links)

    def has_link(self, address: str) -> bool:
        """Return whether a link to a peer is open.

        :param address: daemon address of the peer.
        """
        return address in self._links

    def send(self, address: str, message: Message) -> None:
        """Send a message; it is dropped if the peer cannot be reached.

        :param address: daemon address of the peer.
        :param message: message to send.
        """
        now = self._clock.get_now()
        link = self._links.get(address)
        if link is not None and link.is_silent(
            now, self._options.silence_timeout
        ):
            link.close()
            self._links.pop(address)
            link = None
        if link is None:
            link = self._open(address)
        self._links.move_to_end(address)
        link.put(message, now)

    async def close(self) -> None:
        """Close all links and wait for their tasks."""
        open_links = list(self._links.values())
        for closing in open_links:
            closing.close()
        tasks = [open_link.task for open_link in open_links if open_link.task]
        await asyncio.gather(*tasks, return_exceptions=True)

    def _open(self, address: str) -> Link:
        if len(self._links) >= self._options.max_links:
            _, oldest = self._links.popitem(last=False)
            oldest.close()
        link = Link()
        self._links[address] = link
        link.task = self._loop.create_task(self._run(address, link))
        return link

    async def _run(self, address: str, link: Link) -> None:
        try:
            await self._exchange(address, link)
        except LINK_ERRORS:
            # The failure detector reports the loss of the peer; the next
            # message opens a new link.
            return
        finally:
            if self._links.get(address) is link:
                self._links.pop(address)

    async def _exchange(self, address: str, link: Link) -> None:
        try:
            target = Address.parse(address)
        except ValueError as error:
            raise ProtocolError(str(error)) from error
        channel = Channel(
            target.host,
            target.port,
            codec=self._codec,
            config=create_http2_configuration(),
            ssl=self._context,
        )
        try:
            await self._run_stream(address, channel, link)
        finally:
            channel.close()

    async def _run_stream(
        self, address: str, channel: Channel, link: Link
    ) -> None:
        method: Any = StreamStreamMethod(
            channel, EXCHANGE_METHOD, object, object
        )
        async with method.open(metadata=self._metadata) as stream:
            timeout = self._options.connect_timeout / _MILLISECONDS_PER_SECOND
            await asyncio.wait_for(stream.send_request(), timeout)
            await link.serve(
                stream,
                self._codec,
                lambda message: self._receive(address, message),
            )
