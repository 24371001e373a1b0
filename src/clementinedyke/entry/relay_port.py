"""Forwards the requests of daemons that lost their links to the endpoints."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

import msgspec
import trio
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.clock import Milliseconds
from clementinedyke.decoding import decode_msgpack
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.direct_path import DirectPath
from clementinedyke.entry.endpoint_connections import (
    EndpointConnections,
    check_listening,
)
from clementinedyke.entry.endpoint_notices import AnswerReader
from clementinedyke.entry.path_monitor import PathMonitor
from clementinedyke.entry.relay_messages import (
    FAILURE_HEADER,
    FRAMING_HEADER,
    RelayedRequest,
    RelayFailure,
    get_failure,
)
from clementinedyke.exceptions import (
    AnswerLostError,
    MemoryShortError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import (
    Framing,
    Headers,
    HttpRequest,
    ResponseStream,
)
from clementinedyke.http.memory import Kind
from clementinedyke.http.message import (
    ConnectionInfo,
    ResponseWriter,
    ServerRequest,
)

_MILLISECONDS_PER_SECOND = 1000
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
#: Requests that are forwarded at the same time. Each needs up to 160 KB, and
#: callers of this host need memory too.
_MAX_RUNNING = 64
_DRAIN_INTERVAL_SECONDS = 0.05
#: Headers that concern one connection, or belong to daemons alone.
_DROPPED_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'transfer-encoding',
        FAILURE_HEADER,
        FRAMING_HEADER,
    )
)


class RelayCounts(Collector):
    """Requests of other daemons by outcome, and the bytes of their answers."""

    def __init__(self) -> None:
        """Create all counts at zero."""
        self._outcomes: Counter[str] = Counter()
        self._bytes = 0

    def record_end(self, outcome: str) -> None:
        """Count a request.

        :param outcome: ``done`` or the name of a failure.
        """
        self._outcomes[outcome] += 1

    def record_bytes(self, size: int) -> None:
        """Count bytes that were forwarded.

        :param size: bytes of a request or of a part of an answer.
        """
        self._bytes += size

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counts to the metrics registry."""
        yield CounterMetricFamily(
            'clementinedyke_entry_relayed_bytes',
            'Bytes forwarded for daemons without links to the endpoints.',
            value=self._bytes,
        )
        family = CounterMetricFamily(
            'clementinedyke_entry_relayed_requests',
            'Requests forwarded for other daemons, by outcome.',
            labels=('outcome',),
        )
        for outcome, count in self._outcomes.items():
            family.add_metric((outcome,), count)
        yield family


class RelayPort:
    """Answers the requests of other daemons for endpoints.

    The daemon that got the request from its caller decides everything. This
    one only forwards it, once, to the run of the endpoint that it names.
    """

    def __init__(
        self,
        connections: EndpointConnections,
        path: DirectPath,
        monitor: PathMonitor,
        list_endpoints: Callable[[], Iterable[EntryEndpoint]],
        answers: AnswerReader,
    ) -> None:
        """Create a port that forwards nothing yet.

        :param connections: connections to the endpoints.
        :param path: state of the links to the endpoints.
        :param monitor: checks the links.
        :param list_endpoints: returns the endpoints of all services.
        :param answers: reads the heads of answers.
        """
        self._connections = connections
        self._path = path
        self._monitor = monitor
        self._list_endpoints = list_endpoints
        self._answers = answers
        self._running = 0
        self.counts = RelayCounts()
        #: Returns whether this daemon is about to stop.
        self.is_draining: Callable[[], bool] = bool

    @property
    def is_willing(self) -> bool:
        """Whether this daemon forwards requests of others."""
        return not (self._path.is_lost or self.is_draining())

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Forward a request and its answer.

        :param request: request of another daemon.
        :param response: writer to that daemon.
        """
        # If the daemon has given up, its close arrived with the request.
        await trio.lowlevel.checkpoint()
        try:
            relayed = decode_msgpack(request.body, RelayedRequest)
        except ProtocolError as error:
            await self._fail(response, RelayFailure.UNWILLING, str(error))
            return
        endpoint = self._find_endpoint(relayed)
        refusal = self._get_refusal(relayed, endpoint) or _charge_copy(
            request.connection, len(relayed.body)
        )
        if refusal or endpoint is None:
            await self._fail(response, RelayFailure.UNWILLING, refusal)
        elif relayed.method:
            self.counts.record_bytes(len(request.body))
            await self._run(relayed, endpoint, response)
        else:
            await self._send_check(endpoint, response)

    async def drain(self, timeout: Milliseconds) -> None:
        """Wait until all forwarded requests have ended.

        :param timeout: longest wait in milliseconds.
        """
        with trio.move_on_after(timeout / _MILLISECONDS_PER_SECOND):
            while self._running:
                await trio.sleep(_DRAIN_INTERVAL_SECONDS)

    def _get_refusal(
        self, relayed: RelayedRequest, endpoint: EntryEndpoint | None
    ) -> str:
        """Return why a request is not forwarded, empty if it is."""
        if endpoint is None:
            return 'the endpoint is unknown or leaves'
        if not self.is_willing:
            return 'not now'
        if self._running >= _MAX_RUNNING:
            return 'too many'
        if relayed.method and self._answers.is_paused(endpoint):
            return 'the endpoint asked for a pause'
        return ''

    def _find_endpoint(self, relayed: RelayedRequest) -> EntryEndpoint | None:
        """Return the endpoint of a request; a leaving one only for a check."""
        for endpoint in self._list_endpoints():
            if endpoint.run_id == relayed.run_id:
                is_refused = endpoint.is_leaving and relayed.method
                return None if is_refused else endpoint
        return None

    async def _run(
        self,
        relayed: RelayedRequest,
        endpoint: EntryEndpoint,
        response: ResponseWriter,
    ) -> None:
        request = HttpRequest(
            relayed.method, relayed.target, relayed.headers, relayed.body
        )
        client = self._connections.get_client(endpoint)
        self._running += 1
        sent_at = self._answers.clock.get_now()
        try:
            async with client.open_response(
                request, needs_new=relayed.needs_new
            ) as stream:
                self._answers.read(endpoint, stream, sent_at)
                await self._forward(stream, response)
        except (PeerUnavailableError, AnswerLostError, ProtocolError) as error:
            if response.is_started:
                # The connection is reset, so that the answer is no whole one.
                raise trio.BrokenResourceError(str(error)) from error
            failure = get_failure(error)
            if isinstance(error, PeerUnavailableError):
                failure = await self._explain(failure)
            await self._fail(response, failure, str(error))
        else:
            self.counts.record_end('done')
        finally:
            self._running -= 1

    async def _forward(
        self, stream: ResponseStream, response: ResponseWriter
    ) -> None:
        await response.send_head(
            stream.status, _compile_headers(stream.headers, stream.framing)
        )
        while True:
            received = await stream.receive_available()
            if not received:
                break
            self.counts.record_bytes(len(received))
            await response.send_chunk(received)
        await response.end()

    async def _explain(self, failure: RelayFailure) -> RelayFailure:
        """Return why nothing was sent: an endpoint, or links of this host."""
        is_lost = await self._monitor.check_is_lost()
        return RelayFailure.UNWILLING if is_lost else failure

    async def _send_check(
        self, endpoint: EntryEndpoint, response: ResponseWriter
    ) -> None:
        is_listening = await check_listening(endpoint)
        if not is_listening and await self._monitor.check_is_lost():
            await self._fail(response, RelayFailure.UNWILLING, 'links lost')
            return
        await response.send_response(
            _STATUS_OK,
            [(FRAMING_HEADER, Framing.LENGTH.value.encode())],
            msgspec.msgpack.encode(is_listening),
        )

    async def _fail(
        self, response: ResponseWriter, failure: RelayFailure, text: str
    ) -> None:
        self.counts.record_end(failure.value)
        await response.send_response(
            _STATUS_UNAVAILABLE,
            [(FAILURE_HEADER, failure.value.encode())],
            text.encode(),
        )


def _charge_copy(connection: ConnectionInfo, size: int) -> str:
    """Charge a decoded request; return why it can't be, or an empty text."""
    now = int(trio.current_time() * _MILLISECONDS_PER_SECOND)
    try:
        connection.memory.open_holding(Kind.BODY).resize(size, now)
        connection.memory.pass_on()
    except MemoryShortError as error:
        return str(error)
    return ''


def _compile_headers(headers: Headers, framing: Framing) -> Headers:
    return [
        *(pair for pair in headers if pair[0] not in _DROPPED_HEADERS),
        (FRAMING_HEADER, framing.value.encode()),
    ]
