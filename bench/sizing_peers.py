"""Stand-ins of all peers of one daemon, with byte counters.

The fake members share one address, acknowledge each ping and send one back, so
the daemon has one link where it would have up to nine.
"""

import json
import sys
import time
import zlib
from collections import Counter
from functools import partial
from typing import Any

import msgspec
import trio
import trio_asyncio

from bench.cluster import CountingRelay
from clementinedyke.clock import MonotonicClock
from clementinedyke.configuration.messages import Advert, ListAdvert
from clementinedyke.control.messages import (
    Ack,
    Member,
    Message,
    Ping,
    Sync,
    SyncMembers,
)
from clementinedyke.daemons.options import ControlOptions
from clementinedyke.daemons.server import ControlServer, bind_daemon_port
from clementinedyke.records.core import get_digest
from clementinedyke.reference_platform.tables import Write
from clementinedyke.standins.engine import EngineStandin
from clementinedyke.standins.platform import PlatformStandin

HOST = '127.0.0.1'
ZONES = 5
#: Syncs that the fake members answer with the full member list.
ANSWERED_SYNCS = 3
#: Age of the platform lists that the fake members advertise, in ms.
LIST_AGE = 2000


class CountingEngine(EngineStandin):
    """Engine stand-in that counts its requests."""

    def __init__(self, model: str) -> None:
        """Create an engine without requests.

        :param model: name of the model.
        """
        super().__init__(model)
        self.request_count = 0

    async def respond(self, request: Any, response: Any) -> None:
        """Count a request and answer it."""
        self.request_count += 1
        await super().respond(request, response)


class CountingPlatform(PlatformStandin):
    """Platform stand-in that counts requests by method and path."""

    def __init__(self) -> None:
        """Create a platform without requests."""
        super().__init__()
        self.call_counts: Counter[str] = Counter()

    async def respond(self, request: Any, response: Any) -> None:
        """Count a request and answer it."""
        self.call_counts[f'{request.method} {request.path}'] += 1
        await super().respond(request, response)


class FakeMembers:
    """Members that answer every ping."""

    def __init__(self, count: int) -> None:
        """Create members that are not started.

        :param count: number of members.
        """
        self.server = ControlServer(
            ControlOptions(), MonotonicClock(), self._answer
        )
        self._count = count
        self._syncs = 0
        #: Digest and age of the platform lists sent with each acknowledgement.
        self.lists: tuple[ListAdvert, ...] = ()
        self._members: tuple[Member, ...] = ()

    def create_members(self, address: str) -> None:
        """Create the member entries.

        :param address: address of all members.
        """
        self._members = tuple(
            Member(
                daemon_id=f'host-{number}/10.0.{number // 250}.{number % 250}',
                host_id=f'host-{number}',
                region='region-a',
                # Only the daemon is in zone-0, so it is a watcher.
                availability_zone=f'zone-{1 + number % (ZONES - 1)}',
                address=address,
                run=1,
                incarnation=1,
            )
            for number in range(self._count)
        )

    def _answer(self, address: str, message: Message) -> None:
        if isinstance(message, Ping):
            advert = Advert(lists=self.lists)
            self.server.send(address, Ack(message.sequence, advert=advert))
            self.server.send(address, Ping(0))
        # A peer sends its members only while the digests differ.
        if isinstance(message, Sync) and self._syncs < ANSWERED_SYNCS:
            self._syncs += 1
            self.server.send(address, SyncMembers(self._members))


class Peers:
    """All peers, each behind a relay that counts bytes."""

    def __init__(self, shape: dict[str, int]) -> None:
        """Create peers that are not started.

        :param shape: number of objects by kind.
        """
        self.shape = shape
        self.platform = CountingPlatform()
        self.engine = CountingEngine('model-0')
        self.members = FakeMembers(shape['members'])
        self._relays: dict[str, list[CountingRelay]] = {}
        self._change_count = 0

    async def run(self) -> None:
        """Print the platform address and run commands until the input ends."""
        listener = bind_daemon_port(HOST, 0)
        async with (
            trio.open_nursery() as nursery,
            trio_asyncio.open_loop(),
        ):
            await trio_asyncio.aio_as_trio(self.members.server.start)(listener)
            platform = await self.platform.start(nursery, HOST, 0)
            engine = await self.engine.start(nursery, HOST, 0)
            port = listener.getsockname()[1]
            address = await self._add_relay(nursery, 'members', port)
            self.members.create_members(address)
            for number in range(self.shape['endpoints']):
                endpoint = await self._add_relay(nursery, 'state', engine)
                self._add_endpoint(number, endpoint)
            self._write_records(address)
            self.members.lists = tuple(
                ListAdvert(zlib.crc32(msgspec.json.encode(rows)), LIST_AGE, 0)
                for rows in (self.platform.endpoints, self.platform.hosts)
            )
            platform_address = await self._add_relay(
                nursery, 'platform', platform
            )
            print(json.dumps({'platform': platform_address}), flush=True)
            await self._serve_commands()
            nursery.cancel_scope.cancel()

    async def _add_relay(
        self, nursery: trio.Nursery, kind: str, port: int
    ) -> str:
        relay = CountingRelay(port)
        self._relays.setdefault(kind, []).append(relay)
        serve = partial(trio.serve_tcp, relay.serve, 0, host=HOST)
        listeners = await nursery.start(serve)
        return f'{HOST}:{listeners[0].socket.getsockname()[1]}'

    def _add_endpoint(self, number: int, address: str) -> None:
        self.platform.endpoints.append(
            {
                'endpoint_id': f'endpoint-{number}',
                'service': f'service-{number % self.shape["services"]}',
                'availability_zone': f'zone-{number % ZONES}',
                'address': address,
                'price_class': 'standard',
                'state': 'live',
            }
        )

    def _write_records(self, address: str) -> None:
        shape = self.shape
        records = [
            compile_service(number) for number in range(shape['services'])
        ]
        customers = shape['customers']
        records.extend(compile_customer(number) for number in range(customers))
        records.extend(
            compile_key(number, customers) for number in range(shape['keys'])
        )
        writes = [
            Write('records', f'{record["kind"]}/{record["name"]}', record)
            for record in records
        ]
        if shape['members']:
            row = {'address': address, 'run': 1}
            writes.append(Write('members', 'seed', row))
        self.platform.tables.commit([], writes)
        self.platform.hosts.extend(
            {'host': f'host-{number}', 'state': 'live'}
            for number in range(shape['members'])
        )

    async def _serve_commands(self) -> None:
        async for line in trio.wrap_file(sys.stdin):
            answer = self._change() if 'change' in line else self._count()
            print(json.dumps(answer), flush=True)

    def _change(self) -> dict[str, Any]:
        self._change_count += 1
        record = compile_customer(0) | {'weight': 1 + self._change_count}
        write = Write('records', 'customer/customer-0', record)
        self.platform.tables.commit([], [write])
        return {
            'version': self.platform.tables.revision,
            'instant': time.monotonic(),
        }

    def _count(self) -> dict[str, Any]:
        byte_counts = {
            kind: sum(relay.byte_count for relay in relays)
            for kind, relays in self._relays.items()
        }
        return {
            **byte_counts,
            'instant': time.monotonic(),
            'asked': self.engine.request_count,
            'calls': self.platform.call_counts,
        }


def compile_service(number: int) -> dict[str, Any]:
    """Return the record of a model service."""
    return {
        'kind': 'service',
        'name': f'service-{number}',
        'backend': 'model',
        'models': [f'model-{number}'],
    }


def compile_customer(number: int) -> dict[str, Any]:
    """Return the record of a customer."""
    return {
        'kind': 'customer',
        'name': f'customer-{number}',
        'services': ['service-0', 'service-1'],
    }


def compile_key(number: int, customers: int) -> dict[str, Any]:
    """Return the record of a key."""
    return {
        'kind': 'key',
        'name': f'key-{number}',
        'customer': f'customer-{number % customers}',
        'digest': get_digest(f'secret-{number}'),
    }


if __name__ == '__main__':
    trio.run(Peers(json.loads(sys.argv[1])).run)
