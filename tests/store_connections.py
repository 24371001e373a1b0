"""Connections to the store in virtual time, which may go silent.

The real clients of the store run over them, with their pools.
"""

import json
import math
from collections.abc import Callable
from random import Random
from types import SimpleNamespace

import h11
import trio
from result import Result
from tests.entry_samples import TrioClock
from tests.platform_standin import StoreStandin
from tests.recovery_world import Gate

from clementinedyke.call_failures import TableFailure
from clementinedyke.entry.store_calls import StoreCall
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import FeedAnswer, HistoryLost
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.http.socket_io import is_quiet, set_reset_on_close
from clementinedyke.platform.store import StoreClient

_ADDRESS = Address('10.0.0.1', 80)
_CONNECT_SECONDS = 0.002
_ANSWER_SECONDS = (0.004, 0.06)
#: Time after which an unacknowledged write breaks a connection.
_WRITE_SECONDS = 1.9


class SimulatedStream(trio.abc.Stream):
    """End of a connection at a daemon.

    Nothing but an unacknowledged write shows that it went silent: some networks
    answer keep-alive probes on behalf of a host that they no longer reach.
    """

    def __init__(self, connections: 'StoreConnections') -> None:
        """Create an open connection."""
        self._connections = connections
        self._protocol = h11.Connection(h11.SERVER)
        self._target: tuple[str, str] = ('', '')
        self._body = b''
        self._received = bytearray()
        self._changed = trio.Event()
        self._breaks_at = math.inf
        self._is_closed = False
        #: Whether all packets get lost.
        self.is_silent = False

    @property
    def is_quiet(self) -> bool:
        """Whether nothing has arrived."""
        return not (self._received or self._is_closed)

    def silence(self) -> None:
        """Lose all further packets."""
        self.is_silent = True

    async def send_all(self, data: bytes) -> None:  # noqa: WPS110
        """Send bytes, which get lost on a silent connection."""
        await trio.lowlevel.checkpoint()
        if self._is_closed:
            raise trio.ClosedResourceError
        if self.is_silent:
            self._breaks_at = trio.current_time() + _WRITE_SECONDS
            return
        self._protocol.receive_data(bytes(data))
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Request):
                self._target = (event.method.decode(), event.target.decode())
                self._body = b''
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._connections.spawn(self._answer)
            else:
                return

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes of an answer; fail when the connection breaks."""
        await trio.lowlevel.checkpoint()
        while not self._received:
            left = self._breaks_at - trio.current_time()
            if left <= 0:
                raise trio.BrokenResourceError('connection timed out')
            with trio.move_on_after(left):
                await self._changed.wait()
        received = bytes(self._received)
        self._received.clear()
        return received

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def aclose(self) -> None:
        """Close the connection."""
        self._is_closed = True
        self._connections.streams.discard(self)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _answer(self) -> None:
        target = self._target[1]
        path, _, query = target.partition('?')
        request = SimpleNamespace(path=path, query=query, body=self._body)
        response = _Response()
        await self._connections.store.respond(request, response)
        await trio.sleep(self._connections.draw_delay())
        if self.is_silent or self._is_closed:
            return
        self._received += self._encode(response)
        self._notify()

    def _encode(self, response: '_Response') -> bytes:
        head = h11.Response(
            status_code=response.status, headers=response.headers
        )
        parts = (
            head,
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )
        encoded = b''.join(self._protocol.send(part) or b'' for part in parts)
        self._protocol.start_next_cycle()
        return encoded


@is_quiet.register
def _is_quiet(stream: SimulatedStream) -> bool:
    return stream.is_quiet


@set_reset_on_close.register
def _reset_on_close(stream: SimulatedStream) -> None:
    """Do nothing: a closed connection delivers nothing further."""


class _Response:
    """Collects the answer of the stand-in."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b''

    async def send_json(
        self, status: int, document: object, headers: list
    ) -> None:
        self.status = status
        self.body = json.dumps(document).encode()
        length = (b'Content-Length', str(len(self.body)).encode())
        self.headers = [length, *headers]


class StoreConnections:
    """Access of one daemon to the store over its client and its pool.

    ``gate`` is closed while the daemon stands still.
    """

    def __init__(
        self,
        store: StoreStandin,
        generator: Random,
        contact: StoreContact,
        spawn: Callable,
    ) -> None:
        """Create an access without connections.

        :param store: store that all daemons share.
        :param generator: random generator of delays.
        :param contact: told of answers.
        :param spawn: starts a task of the store.
        """
        self.store = store
        self.spawn = spawn
        self.gate = Gate()
        self.is_cut = False
        self.calls = 0
        self.streams: set[SimulatedStream] = set()
        self._generator = generator
        self._contact = contact
        client = HttpClient(_ADDRESS)
        client.open_transport = self._connect
        self._client = StoreClient(client)
        self._client.record_call = self._record_call
        self.read_table = self._client.read_table

    def silence(self) -> None:
        """Let all open connections go silent while new ones work."""
        for stream in tuple(self.streams):
            stream.silence()

    def cut(self) -> None:
        """Lose all packets, those of new connections too."""
        self.silence()
        self.is_cut = True

    def draw_delay(self) -> float:
        """Return the seconds that an answer takes."""
        return self._generator.uniform(*_ANSWER_SECONDS)

    async def follow_table(
        self, *arguments: object, **options: object
    ) -> Result[FeedAnswer | HistoryLost, TableFailure]:
        """Wait for changes; the daemon may stand still when they come."""
        answer = await self._client.follow_table(*arguments, **options)
        await self.gate.wait()
        return answer

    async def read_rows(self) -> None:
        """Make a call as other parts of a daemon do."""
        await self._client.get_row('usage', 'any')

    async def _connect(self, host: str, port: int) -> SimulatedStream:
        await trio.sleep(_CONNECT_SECONDS)
        if self.is_cut:
            await trio.sleep_forever()
        stream = SimulatedStream(self)
        self.streams.add(stream)
        return stream

    def _record_call(self, ended: StoreCall) -> None:
        self.calls += 1
        if not ended.is_failure:
            self._contact.record_answer(TrioClock().get_now())
