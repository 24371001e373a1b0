"""Fuzz tests of the three ports, and tests of faults in handlers."""

import gc
import logging
import struct
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from types import MappingProxyType
from typing import Any

import pytest
import trio
from h2.connection import H2Connection
from pydantic import SecretStr

from caller_tools import serve_callers
from clementinedyke.control.messages import MemberState, Ping, PingRequest
from clementinedyke.daemons import ControlOptions
from clementinedyke.daemons.codec import ControlCodec
from clementinedyke.daemons.links import (
    ADDRESS_HEADER,
    EXCHANGE_METHOD,
    SECRET_HEADER,
)
from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.http.connection import ServerConnection
from clementinedyke.members.events import Received
from clementinedyke.operators import OperatorPort, OperatorReports
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.settings.core import Settings
from clementinedyke.standins.engine import EngineStandin
from clementinedyke.standins.platform import PlatformStandin
from clementinedyke.standins.service import ServiceStandin
from fuzzer import Fuzzer, count_descriptors
from http_tools import HOST
from test_daemon_port import Cluster, wait_until

TOKEN = 'operator-token-of-tests'
_OPERATOR = b'Host: x\r\nAuthorization: Bearer %b\r\n' % TOKEN.encode()
_RECORD = b'{"kind":"customer","name":"c","services":[]}'
OPERATOR_SEEDS = (
    b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n',
    b'GET /v1/records?prefix=c HTTP/1.1\r\n%b\r\n' % _OPERATOR,
    b'GET /v1/explain/0123 HTTP/1.1\r\n%b\r\n' % _OPERATOR,
    b'PUT /v1/records/customer/c?expect_version=0 HTTP/1.1\r\n%b'
    b'Content-Length: %d\r\n\r\n%b' % (_OPERATOR, len(_RECORD), _RECORD),
    b'DELETE /v1/records/customer/c?expect_version=1 HTTP/1.1\r\n%b\r\n'
    % _OPERATOR,
)


class ErrorLog(logging.Handler):
    """Collects log records of level ERROR, such as faults of handlers."""

    def __init__(self) -> None:
        """Create an empty log."""
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Store the text of a record."""
        self.messages.append(self.format(record))


@contextmanager
def assert_no_errors() -> Iterator[None]:
    """Check that no error is logged within the context."""
    log = ErrorLog()
    logger = logging.getLogger('absl')
    logger.addHandler(log)
    try:
        yield
    finally:
        logger.removeHandler(log)
    assert not log.messages


async def check_caller_port(seed: int, total: int) -> None:
    """Fuzz a caller port; check that it answers and leaks nothing."""
    engine = EngineStandin('m')
    service = ServiceStandin()
    async with trio.open_nursery() as nursery:
        ports = [
            await engine.start(nursery, HOST, 0),
            await service.start(nursery, HOST, 0),
        ]
        async with serve_callers(ports) as side:
            # Closes the descriptors of uncollected objects of earlier tests.
            gc.collect()
            idle = get_resource_counts()
            assert (await side.chat()).status == 200
            with assert_no_errors():
                await Fuzzer(seed).run(side.port, total)
                await side.selector.close_idle()
                await _wait_for_counts(idle)
            assert (await side.chat()).status == 200
        nursery.cancel_scope.cancel()


async def check_operator_port(seed: int, total: int) -> None:
    """Fuzz an operator port; check that it answers and leaks nothing."""
    async with serve_operators() as (port, tables):
        gc.collect()
        idle = get_resource_counts()
        assert await read_operator_port(port.bound_port) == 200
        with assert_no_errors():
            fuzzer = Fuzzer(seed, OPERATOR_SEEDS)
            await fuzzer.run(port.bound_port, total)
            await tables.close()
            await _wait_for_counts(idle)
        assert await read_operator_port(port.bound_port) == 200


@asynccontextmanager
async def serve_operators() -> AsyncIterator[tuple[OperatorPort, HttpClient]]:
    """Run an operator port in front of a platform stand-in."""
    platform = PlatformStandin()
    settings = Settings(operator_port=0, operator_token=SecretStr(TOKEN))
    async with trio.open_nursery() as nursery:
        address = Address(HOST, await platform.start(nursery, HOST, 0))
        client = HttpClient(address)
        port = OperatorPort(settings, TableClient(client), OperatorReports())
        await port.start(nursery)
        yield port, client
        nursery.cancel_scope.cancel()


async def read_operator_port(port: int, path: str = '/v1/status') -> int:
    """Return the status code of an authorized GET request."""
    header = (b'Authorization', f'Bearer {TOKEN}'.encode())
    async with HttpClient(Address(HOST, port)) as client:
        request = HttpRequest('GET', path, [header])
        return (await client.request(request, 10000)).status


async def check_daemon_port(seed: int, total: int) -> None:
    """Fuzz a daemon port; check that the daemons stay connected."""
    cluster = Cluster(ControlOptions(secret='s3cret'))
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery, 2)
        await wait_until(lambda: cluster.count_living_members() == [2, 2])
        port = int(cluster.get_daemon_id(0).rpartition(':')[2])
        with assert_no_errors():
            await Fuzzer(seed, create_daemon_seeds()).run(port, total)
            await wait_until(lambda: cluster.components[0].connections <= 2)
            await wait_until(lambda: is_connected(cluster))
        nursery.cancel_scope.cancel()


def is_connected(cluster: Cluster) -> bool:
    """Return whether both daemons consider both of them alive."""
    seen = [
        cluster.get_states(cluster.get_daemon_id(place)) for place in (0, 1)
    ]
    return all(
        states == [MemberState.ALIVE, MemberState.ALIVE] for states in seen
    )


def create_daemon_seeds() -> list[bytes]:
    """Return HTTP/2 streams with the right and with a wrong secret."""
    return [create_stream(b's3cret'), create_stream(b'wrong')]


def create_stream(secret: bytes) -> bytes:
    """Return the bytes of a connection whose stream has two messages."""
    protocol = H2Connection()
    protocol.initiate_connection()
    fields = (
        (b':method', b'POST'),
        (b':scheme', b'http'),
        (b':path', EXCHANGE_METHOD.encode()),
        (b':authority', b'x'),
        (b'te', b'trailers'),
        (b'content-type', b'application/grpc+msgpack'),
        (ADDRESS_HEADER.encode(), b'127.0.0.1:1'),
        (SECRET_HEADER.encode(), secret),
    )
    protocol.send_headers(1, fields)
    for message in (Ping(1), PingRequest(2, '127.0.0.1:1')):
        encoded = ControlCodec().encode(message, None)
        protocol.send_data(1, struct.pack('>?I', False, len(encoded)) + encoded)
    return bytes(protocol.data_to_send())


CHECKS = MappingProxyType(
    {
        'caller': check_caller_port,
        'operator': check_operator_port,
        'daemon': check_daemon_port,
    }
)


def get_resource_counts() -> tuple[int, int]:
    """Return the numbers of living tasks and open file descriptors."""
    tasks = trio.lowlevel.current_statistics().tasks_living
    return tasks, count_descriptors()


async def _wait_for_counts(counts: tuple[int, int]) -> None:
    with trio.move_on_after(10):
        while get_resource_counts() != counts:
            await trio.sleep(0.05)
    assert get_resource_counts() == counts


class TestFuzz:
    """Guards against input that makes a port crash, hang or leak."""

    @pytest.mark.parametrize('seed', [1, 2])
    def test_caller_port(self, seed: int) -> None:
        """The port still answers after 50 kB of fuzzed requests per seed."""
        trio.run(check_caller_port, seed, 50000)

    @pytest.mark.parametrize('port', ['operator', 'daemon'])
    def test_inner_ports(self, port: str) -> None:
        """The other ports still work after 20 kB each."""
        trio.run(CHECKS[port], 1, 20000)


class FaultyNode:
    """Raises an error on each message and forwards other events."""

    def __init__(self, node: Any) -> None:
        """Wrap the core of a daemon."""
        self.node = node
        self.failure_count = 0

    def handle(self, event: object, now: int) -> Any:
        """Forward an event, or raise an error if it is a message."""
        if isinstance(event, Received):
            self.failure_count += 1
            raise RuntimeError('fault of a handler')
        return self.node.handle(event, now)

    def has_failed_repeatedly(self) -> bool:
        """Return whether more than two messages have failed."""
        return self.failure_count > 2

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the core."""
        return getattr(self.node, name)


class TestFaultyHandlers:
    """Guards against a fault in one handler that stops the whole daemon."""

    def test_operator_port(self, monkeypatch: Any) -> None:
        """The request gets status 500, and the next one is answered."""

        async def check() -> None:
            async with serve_operators() as (port, _):
                with monkeypatch.context() as patch:
                    patch.setattr(OperatorReports, 'compile_status', None)
                    status = await read_operator_port(port.bound_port)
                    assert status == 500
                assert await read_operator_port(port.bound_port) == 200

        trio.run(check)

    def test_connection_fault(self, monkeypatch: Any) -> None:
        """A fault outside of a handler closes only its connection."""

        async def check() -> None:
            async with serve_operators() as (port, _):
                lost = pytest.raises(AnswerLostError)
                with monkeypatch.context() as patch, lost:
                    patch.setattr(ServerConnection, '_serve', None)
                    await read_operator_port(port.bound_port)
                assert await read_operator_port(port.bound_port) == 200

        trio.run(check)

    def test_daemon_port(self) -> None:
        """The daemon keeps running and sees its peer again afterwards."""

        trio.run(check_faulty_node)


async def check_faulty_node() -> None:
    """Make several messages fail; then check that daemons reconnect."""
    cluster = Cluster(ControlOptions(secret='s3cret'))
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery, 2)
        await wait_until(lambda: cluster.count_living_members() == [2, 2])
        component: Any = cluster.components[0]
        faulty = FaultyNode(component.node)
        component.node = faulty
        await wait_until(faulty.has_failed_repeatedly)
        component.node = faulty.node
        await wait_until(lambda: is_connected(cluster))
        nursery.cancel_scope.cancel()
