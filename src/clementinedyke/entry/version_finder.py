"""Finds out which software version began a stream that a caller resumes."""

import math
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import singledispatchmethod

import trio
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.endpoint_reader import EndpointReader
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.stream_messages import (
    MESSAGE_PREFIX,
    StreamBegun,
    StreamMessage,
    VersionAsked,
    VersionTold,
    decode_message,
    encode_message,
)
from clementinedyke.entry.stream_versions import (
    KeeperSelection,
    StreamVersions,
    VersionHistory,
    compute_id,
)
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address
from clementinedyke.tasks import run_restarting

_MILLISECONDS_PER_SECOND = 1000
#: Longest wait for the answers to a question, and the number of times that it
#: is sent, since datagrams are lost.
_ANSWER_TIMEOUT: Milliseconds = 60
_MAX_QUESTIONS = 2
#: Time after which a daemon that has started is told of its streams once more.
_REPEAT_DELAY: Milliseconds = 1000


class ResumeCounts(Collector):
    """Streams that began here, and those that callers took up again."""

    def __init__(self) -> None:
        """Create all counts at zero."""
        self._results: Counter[str] = Counter()
        self._keepers: Counter[int] = Counter()

    def record_begun(self, keepers: int) -> None:
        """Count a stream that began.

        :param keepers: number of daemons that were told of its version.
        """
        self._keepers[keepers] += 1

    def record_resume(self, result: str) -> None:
        """Count a stream.

        :param result: how its software version was found.
        """
        self._results[result] += 1

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counts to the metrics registry."""
        family = CounterMetricFamily(
            'clementinedyke_entry_resumed_streams',
            'Streams that callers took up, by how their version was found.',
            labels=('result',),
        )
        for result, count in self._results.items():
            family.add_metric((result,), count)
        yield family
        begun = CounterMetricFamily(
            'clementinedyke_entry_begun_streams',
            'Streams that began, by the daemons told of their version.',
            labels=('keepers',),
        )
        for keepers, streams in self._keepers.items():
            begun.add_metric((str(keepers),), streams)
        yield begun


@dataclass(slots=True)
class _Question:
    """Answers to a question so far.

    ``unanswered`` has the addresses that were asked and have not answered.
    """

    unanswered: set[Address]
    version: str | None = None
    serving: set[str] = field(default_factory=set)
    done: trio.Event = field(default_factory=trio.Event)


class VersionFinder:
    """Tells the keepers of streams of their versions, and asks them.

    The daemon that began a stream and its keepers remember the version until
    no caller takes the stream up again.
    """

    def __init__(
        self,
        endpoints: EndpointView,
        reader: EndpointReader,
        network: PeerNetwork,
        availability_zone: str,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Create a finder that knows no stream.

        :param endpoints: view of the registered endpoints.
        :param reader: reads the endpoints when the version of a stream follows
            from them.
        :param network: socket and addresses of the other daemons.
        :param availability_zone: zone of this daemon.
        :param clock: clock of the host.
        :param journal: log of unreadable messages.
        """
        self._endpoints = endpoints
        self._reader = reader
        self._network = network
        network.add_receiver(MESSAGE_PREFIX, self.receive)
        self._zone = availability_zone
        self._clock = clock
        self._journal = journal
        #: Streams that this daemon began or keeps.
        self.streams = StreamVersions()
        self._keepers = KeeperSelection()
        self._questions: dict[int, _Question] = {}
        self.counts = ResumeCounts()
        #: Versions that the services had of late.
        self.history = VersionHistory()
        #: Returns the hosts of daemons that sent an update recently.
        self.list_active: Callable[[], frozenset[str]] = frozenset

    async def announce(
        self, request_id: str, version: str, lifetime: Milliseconds
    ) -> None:
        """Remember the version of a stream and tell its keepers.

        Must end before the caller gets the first event: this daemon may be
        killed at any moment after that.

        :param request_id: id of the request that brings the first event.
        :param version: software version of its engine.
        :param lifetime: time in ms after which no caller takes it up again.
        """
        keepers = await self._tell_keepers(request_id, version, lifetime)
        self.counts.record_begun(keepers)

    async def renew(
        self, request_id: str, version: str, lifetime: Milliseconds
    ) -> None:
        """Tell the keepers again of a stream that was taken up.

        It may be taken up once more after they have forgotten its beginning.

        :param request_id: id of the request that brought the first event.
        :param version: software version of its engines.
        :param lifetime: time in ms after which no caller takes it up again.
        """
        await self._tell_keepers(request_id, version, lifetime)

    async def tell(self, host: str) -> None:
        """Tell a daemon that has started which streams it keeps.

        The keepers of a stream are told once, when it begins, and forget it
        when they restart.

        :param host: host of the other daemon.
        """
        zones = self._compile_zones(self.list_active() | {host})
        if host not in zones:
            return
        known = self.streams.list_streams(self._clock.get_now())
        address = self._network.addresses[host]
        for stream in self._keepers.list_kept(host, known, zones, self._zone):
            version, lifetime = known[stream]
            await self._network.send(
                encode_message(StreamBegun(stream, version, lifetime)),
                (address,),
            )

    async def find_version(
        self, service: str, request_id: str | None, lifetime: Milliseconds
    ) -> str | None:
        """Return the version that began a stream, None if it is not known.

        :param service: service of the stream.
        :param request_id: id of the request that brought its first event, None
            if the caller does not tell it.
        :param lifetime: time in ms in which the stream may have begun.
        """
        version, result = await self._find_version(
            service, request_id, lifetime
        )
        self.counts.record_resume(result if version else 'unknown')
        return version

    async def receive(self, datagram: bytes, sender: Address) -> None:
        """Process a message of another daemon.

        :param datagram: bytes with the prefix of these messages.
        :param sender: address of the other daemon.
        """
        try:
            message = decode_message(datagram)
        except ProtocolError as error:
            self._journal.write('news_unreadable', error=str(error))
            return
        await self._handle(message, sender)

    @singledispatchmethod
    async def _handle(self, message: StreamMessage, sender: Address) -> None:
        raise TypeError(f'no message: {message!r}')

    @_handle.register
    async def _handle_begun(
        self, message: StreamBegun, sender: Address
    ) -> None:
        self.streams.record(
            message.stream,
            message.version,
            message.lifetime,
            self._clock.get_now(),
        )

    @_handle.register
    async def _handle_asked(
        self, message: VersionAsked, sender: Address
    ) -> None:
        now = self._clock.get_now()
        answer = VersionTold(
            message.stream,
            self.streams.get_version(message.stream, now),
            sorted(self._list_serving(message.service, message.lifetime)),
        )
        await self._network.send(encode_message(answer), (sender,))

    @_handle.register
    async def _handle_told(self, message: VersionTold, sender: Address) -> None:
        question = self._questions.get(message.stream)
        if question is None:
            return
        question.unanswered.discard(sender)
        question.serving.update(message.serving)
        if message.version is not None:
            question.version = message.version
        if question.version is not None or not question.unanswered:
            question.done.set()

    async def _tell_keepers(
        self, request_id: str, version: str, lifetime: Milliseconds
    ) -> int:
        """Remember a stream and return the number of daemons that were told."""
        stream = compute_id(request_id)
        self.streams.record(stream, version, lifetime, self._clock.get_now())
        zones = self._compile_zones(self.list_active())
        keepers = self._keepers.list_keepers(stream, zones, self._zone)
        await self._network.send(
            encode_message(StreamBegun(stream, version, lifetime)),
            self._list_addresses(keepers),
        )
        return len(keepers)

    async def _find_version(
        self, service: str, request_id: str | None, lifetime: Milliseconds
    ) -> tuple[str | None, str]:
        """Return the version of a stream and how it was found."""
        if request_id is None:
            return await self._find_sole(service, lifetime, set()), 'sole'
        stream = compute_id(request_id)
        known = self.streams.get_version(stream, self._clock.get_now())
        if known is not None:
            return known, 'known'
        question = await self._ask(VersionAsked(stream, service, lifetime))
        if question.version is None:
            sole = await self._find_sole(service, lifetime, question.serving)
            return sole, 'sole'
        self.streams.record(
            stream, question.version, lifetime, self._clock.get_now()
        )
        return question.version, 'asked'

    async def _ask(self, message: VersionAsked) -> _Question:
        """Ask the daemons that may know a stream and return their answers."""
        waiting = self._questions.get(message.stream)
        if waiting is not None:
            await waiting.done.wait()
            return waiting
        zones = self._compile_zones(frozenset(self._network.addresses))
        hosts = self._keepers.list_asked(message.stream, zones)
        question = _Question(set(self._list_addresses(hosts)))
        self._questions[message.stream] = question
        try:
            for _ in range(_MAX_QUESTIONS):
                await self._ask_once(message, question)
        finally:
            self._questions.pop(message.stream)
            question.done.set()
        return question

    async def _ask_once(
        self, message: VersionAsked, question: _Question
    ) -> None:
        if question.done.is_set() or not question.unanswered:
            return
        await self._network.send(
            encode_message(message), tuple(question.unanswered)
        )
        with trio.move_on_after(_ANSWER_TIMEOUT / _MILLISECONDS_PER_SECOND):
            await question.done.wait()

    async def _find_sole(
        self, service: str, lifetime: Milliseconds, serving: set[str]
    ) -> str | None:
        """Return the only version that the service had, None if unknown.

        The endpoints are read again: while the view is some seconds old, a
        stream may have begun at a version that this daemon has not seen.
        """
        own = self._list_serving(service, lifetime)
        since = self._clock.get_now() - lifetime
        versions = serving | self.history.list_versions(service, since)
        if not (own or serving) or len(versions) != 1:
            return None
        registered = await self._reader.read()
        if registered is None:
            return None
        current = {
            endpoint.version
            for endpoint in registered
            if endpoint.service == service
        }
        return next(iter(versions)) if current <= versions else None

    def _list_serving(
        self, service: str, lifetime: Milliseconds
    ) -> frozenset[str]:
        """Return all versions in the lifetime, none if some may be missing."""
        now = self._clock.get_now()
        since = now - lifetime
        is_complete = self._endpoints.continuity.covers(since, now)
        if is_complete and self.history.reaches_back(since):
            return self.history.list_versions(service, since)
        return frozenset()

    def _compile_zones(self, hosts: frozenset[str]) -> dict[str, str]:
        """Return the zones of those hosts whose addresses are known."""
        known = hosts & self._network.addresses.keys()
        return {host: self._network.get_zone(host) for host in known}

    def _list_addresses(self, hosts: Iterable[str]) -> list[Address]:
        return [self._network.addresses[host] for host in hosts]


class StreamHandover(Component):
    """Tells daemons that have started of the streams that they keep."""

    def __init__(self, tell: Callable[[str], Awaitable[None]]) -> None:
        """Create the component.

        :param tell: tells a host of its streams.
        """
        self._tell = tell
        self._hosts = trio.open_memory_channel[str](math.inf)

    def record_start(self, host: str) -> None:
        """Record that a daemon has started.

        :param host: host of a daemon that was heard from for the first time.
        """
        self._hosts[0].send_nowait(host)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(run_restarting, self._run, 'stream_handover')

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            async for host in self._hosts[1]:
                nursery.start_soon(self._tell_twice, host)

    async def _tell_twice(self, host: str) -> None:
        """Tell a host, and once more, since datagrams are lost."""
        await self._tell(host)
        await trio.sleep(_REPEAT_DELAY / _MILLISECONDS_PER_SECOND)
        await self._tell(host)
