"""Reaches endpoints through other daemons."""

import hashlib
from collections.abc import Callable, Collection, Iterator
from contextlib import AsyncExitStack, contextmanager
from random import Random
from typing import cast

import msgspec
import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.decoding import decode_msgpack
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.relay_messages import (
    FAILURE_HEADER,
    FRAMING_HEADER,
    RELAY_PATH,
    RelayedRequest,
    RelayFailure,
    create_exception,
)
from clementinedyke.exceptions import (
    AnswerLostError,
    MemoryShortError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import (
    Address,
    Framing,
    HttpClient,
    HttpRequest,
    ResponseStream,
)
from clementinedyke.http.memory import ConnectionMemory, Kind

#: Daemons that are asked in turn until one forwards a request.
_MAX_DAEMONS = 3
#: Daemons that share the requests of one daemon. Each has open connections, so
#: their number must not grow with that of all daemons.
_POOL_SIZE = 4
#: Longer than to an endpoint: a daemon accepts between its other tasks, and
#: there may be only one that forwards.
_CONNECT_TIMEOUT: Milliseconds = 500
#: Time for which a daemon that forwards no requests is asked last.
_AVOIDANCE: Milliseconds = 1000
#: The same for one that answers nothing for a while; it may be frozen.
_SILENT_AVOIDANCE: Milliseconds = 5000
_SILENCE: Milliseconds = 1000
_CHECK_TIMEOUT: Milliseconds = 500
_MAX_FAILURE_BYTES = 4096
_HASH_BYTES = 8
#: Results of requests that the port of a daemon refuses before it reads them.
_RESULT_HEADER = b'clementinedyke-result'
_REFUSED_RESULTS = frozenset(
    str(int(code)).encode()
    for code in (ResultCode.CONNECTION_LIMIT, ResultCode.MEMORY_SHORT)
)
_MILLISECONDS_PER_SECOND = 1000


class NoRelayError(PeerUnavailableError):
    """No other daemon forwards requests; nothing was sent."""


class RelayClient:
    """Sends requests to endpoints through daemons that reach them."""

    def __init__(
        self, network: PeerNetwork, zone: str, clock: Clock, generator: Random
    ) -> None:
        """Create a client without connections.

        :param network: addresses and zones of the other daemons.
        :param zone: availability zone of this host.
        :param clock: clock of the host.
        :param generator: random generator that spreads the requests.
        """
        self._network = network
        self._zone = zone
        self._clock = clock
        self._generator = generator
        self._salt = generator.randbytes(_HASH_BYTES)
        self._clients: dict[Address, HttpClient] = {}
        self._avoided_until: dict[str, Milliseconds] = {}
        #: Returns the hosts whose daemons forward requests.
        self.list_relays: Callable[[], Collection[str]] = tuple

    async def enter_response(
        self,
        stack: AsyncExitStack,
        endpoint: EntryEndpoint,
        request: HttpRequest,
        *,
        needs_new: bool,
    ) -> ResponseStream:
        """Send a request and return the stream of its answer.

        :param stack: closes the connection at its end.
        :param endpoint: endpoint to reach.
        :param request: request with its complete body.
        :param needs_new: whether it must have a connection of the forwarding
            daemon that carried none before.
        :raises NoRelayError: if no daemon forwards the request.
        :raises PeerUnavailableError: if the request was not sent.
        :raises AnswerLostError: if the request may have run.
        :raises ProtocolError: if the endpoint sent no valid answer.
        """
        relayed = RelayedRequest(
            endpoint.run_id,
            request.method,
            request.target,
            list(request.headers),
            request.body,
            needs_new,
        )
        if request.memory is not None:
            _charge_copy(stack, request.memory, len(request.body))
        stream = await self._enter(stack, relayed)
        fields = dict(stream.headers)
        stream.framing = _read_framing(fields[FRAMING_HEADER])
        # Whether the other daemon's connection was new is not known.
        stream.is_first = False
        stream.headers = [
            pair for pair in stream.headers if pair[0] != FRAMING_HEADER
        ]
        return stream

    async def check_listening(self, endpoint: EntryEndpoint) -> bool | None:
        """Return whether a process listens at an endpoint.

        None if the endpoint did not answer the daemon that was asked.

        :param endpoint: endpoint to examine.
        :raises PeerUnavailableError: if no daemon could be asked.
        :raises AnswerLostError: if the daemon did not answer.
        :raises ProtocolError: if its answer is invalid.
        """
        async with AsyncExitStack() as stack:
            stream = await self._enter(
                stack, RelayedRequest(endpoint.run_id, '')
            )
            body = await stream.receive_body(_MAX_FAILURE_BYTES)
        try:
            return decode_msgpack(body, cast('type[bool | None]', bool | None))
        except ProtocolError as error:
            raise ProtocolError(f'result of a check: {error}') from error

    async def close(self) -> None:
        """Close all idle connections."""
        for client in self._clients.values():
            await client.close()

    async def _enter(
        self, stack: AsyncExitStack, relayed: RelayedRequest
    ) -> ResponseStream:
        request = HttpRequest(
            'POST', RELAY_PATH, body=msgspec.msgpack.encode(relayed)
        )
        for host in self._select_hosts():
            stream = await self._try_host(stack, host, request)
            if stream is not None:
                return stream
            self._avoid(host, _AVOIDANCE)
        raise NoRelayError('no other daemon forwards requests')

    async def _try_host(
        self, stack: AsyncExitStack, host: str, request: HttpRequest
    ) -> ResponseStream | None:
        """Return the answer, None if the daemon didn't forward the request."""
        client = self._get_client(self._network.addresses[host])
        async with AsyncExitStack() as attempt:
            try:
                with self._observe_silence(host):
                    stream = await attempt.enter_async_context(
                        client.open_response(request)
                    )
            except PeerUnavailableError:
                return None
            failure = await _read_failure(stream)
            if failure is RelayFailure.UNWILLING:
                return None
            if failure is not None:
                raise create_exception(failure, f'by {host}: {failure.value}')
            stream.relay = host
            stack.push_async_exit(attempt.pop_all())
            return stream

    @contextmanager
    def _observe_silence(self, host: str) -> Iterator[None]:
        """Avoid a daemon if it leaves a request unanswered for a while."""
        asked_at = self._clock.get_now()
        try:
            yield
        except (AnswerLostError, trio.Cancelled):
            if self._clock.get_now() - asked_at >= _SILENCE:
                self._avoid(host, _SILENT_AVOIDANCE)
            raise

    def _avoid(self, host: str, duration: Milliseconds) -> None:
        self._avoided_until[host] = self._clock.get_now() + duration

    def _is_avoided(self, host: str) -> bool:
        return self._avoided_until.get(host, 0) > self._clock.get_now()

    def _get_client(self, address: Address) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, connect_timeout=_CONNECT_TIMEOUT)
            self._clients[address] = client
        return client

    def _select_hosts(self) -> list[str]:
        """Return the daemons to ask, those of this zone first."""
        groups: dict[tuple[bool, bool], list[str]] = {}
        for host in sorted(self.list_relays(), key=self._get_rank):
            if host in self._network.addresses:
                is_far = self._network.get_zone(host) != self._zone
                group = (self._is_avoided(host), is_far)
                groups.setdefault(group, []).append(host)
        selected: list[str] = []
        for _, hosts in sorted(groups.items()):
            pool = hosts[:_POOL_SIZE]
            self._generator.shuffle(pool)
            selected += pool
        return selected[:_MAX_DAEMONS]

    def _get_rank(self, host: str) -> bytes:
        return hashlib.blake2b(
            host.encode(), digest_size=_HASH_BYTES, salt=self._salt
        ).digest()


def _charge_copy(
    stack: AsyncExitStack, memory: ConnectionMemory, size: int
) -> None:
    """Charge the caller's connection with the message to another daemon.

    :raises NoRelayError: if there is no memory for it.
    """
    holding = memory.open_holding(Kind.BODY)
    stack.callback(holding.close)
    try:
        holding.resize(
            size, int(trio.current_time() * _MILLISECONDS_PER_SECOND)
        )
    except MemoryShortError as error:
        raise NoRelayError(str(error)) from error


async def _read_failure(stream: ResponseStream) -> RelayFailure | None:
    """Return the failure that a daemon reports, None for an answer.

    :raises AnswerLostError: if the answer is not one of a daemon.
    """
    fields = dict(stream.headers)
    name = fields.get(FAILURE_HEADER)
    if name is None and FRAMING_HEADER in fields:
        return None
    await stream.discard_body()
    if fields.get(_RESULT_HEADER) in _REFUSED_RESULTS:
        return RelayFailure.UNWILLING
    try:
        return RelayFailure((name or b'').decode('latin-1'))
    except ValueError as error:
        raise AnswerLostError(
            f'a daemon answered {stream.status} without forwarding'
        ) from error


def _read_framing(content: bytes) -> Framing:
    """Return how the endpoint marked the end of its body.

    :raises AnswerLostError: if the daemon names no such way.
    """
    try:
        return Framing(content.decode('latin-1'))
    except ValueError as error:
        raise AnswerLostError(f'answer of a daemon: {error}') from error
