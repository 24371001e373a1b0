"""Test environment: entry daemons and platform stand-ins in one process."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio
from result import Ok, Result
from tests.entry_samples import BOUNDS
from tests.link import Link
from tests.platform_standin import (
    DutiesStandin,
    EndpointStandin,
    StoreStandin,
    serve,
)

from clementinedyke.entry.application import EntryApplication
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.platform_parts import PlatformParts
from clementinedyke.http.client import (
    Address,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.platform.parts import create_parts

_TIMEOUT = 4000
_SYNC_SECONDS = 0.1
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': name,
            'host': 'desk.example',
            'prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': 3000,
            'target_latency_ms': 500,
            'priority': 1,
            'service': service,
            'max_attempts': 2,
            'resumable': name == 'resumable',
        }
        for name, kind, service in (
            ('read', 'safe', 'ledger'),
            ('book', 'unsafe', 'ledger'),
            ('ask', 'streaming', 'chat'),
            ('resumable', 'streaming', 'chat'),
        )
    ],
    'services': [
        {
            'name': 'chat',
            'max_connections': 100,
            'engine': {'slots': 8, 'kv_capacity': 9000, 'token_kv_bytes': 9},
        },
        {'name': 'ledger', 'max_connections': 100},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 'loft', 'api_keys': ['key-1']}],
}


class EndpointLinks:
    """Links of one daemon to all endpoints, which are cut together."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Create an instance without links."""
        self._nursery = nursery
        self._links: dict[str, Link] = {}

    @property
    def accepted(self) -> int:
        """Connections that the daemon has opened over its links."""
        return sum(link.accepted for link in self._links.values())

    def get_port(self, endpoint_id: str) -> int | None:
        """Return the port of the link to an endpoint, None if none is open."""
        link = self._links.get(endpoint_id)
        return link.port if link else None

    async def add(self, endpoint: EndpointStandin) -> None:
        """Open a link to an endpoint."""
        link = Link(Address('127.0.0.1', endpoint.port))
        await link.start(self._nursery)
        self._links[endpoint.endpoint_id] = link

    def cut(self, mode: str) -> None:
        """Cut the daemon off from all endpoints.

        :param mode: open connections ``hang``, are ``reset``, or live on while
            new ones are refused (``refuse``).
        """
        for link in self._links.values():
            if mode == 'hang':
                link.hang_open()
                link.hang_new()
                continue
            link.refuse_new()
            if mode == 'reset':
                link.reset_open()

    def heal(self) -> None:
        """End the cut."""
        for link in self._links.values():
            link.heal()

    def replace_addresses(self, parts: PlatformParts) -> PlatformParts:
        """Return parts that decode entries with the addresses of the links."""

        def decode(key: str, content: bytes) -> Result[EntryEndpoint, str]:
            decoded = parts.decode_endpoint(key, content)
            if decoded.is_err() or key not in self._links:
                return decoded
            address = Address('127.0.0.1', self._links[key].port)
            return Ok(replace(decoded.unwrap(), address=address))

        return replace(parts, decode_endpoint=decode)


class EntryEnvironment:
    """Stand-ins for store, duties and endpoints, and daemons that use them."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Create an environment without servers; see :meth:`start`."""
        self.nursery = nursery
        self.store = StoreStandin()
        self.duties = DutiesStandin()
        self.endpoints: dict[str, EndpointStandin] = {}
        self.daemons: list[EntryApplication] = []
        #: Clients and decoders of the daemons, in the same order.
        self.parts: list[PlatformParts] = []
        self._daemon_scopes: list[trio.CancelScope] = []
        self.store_port = 0
        self.duties_port = 0

    async def start(self) -> None:
        """Start the stand-ins with two engines and two plain services."""
        self.store_port = await serve(self.nursery, self.store.respond)
        self.duties_port = await serve(self.nursery, self.duties.respond)
        for endpoint in (
            EndpointStandin('reader', 'prefill'),
            EndpointStandin('writer', 'decode'),
            EndpointStandin('ledger-1'),
            EndpointStandin('ledger-2'),
        ):
            await self.add_endpoint(endpoint)

    async def add_endpoint(self, endpoint: EndpointStandin) -> None:
        """Start an endpoint and register it in the store."""
        endpoint.port = await serve(self.nursery, endpoint.respond)
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.register(endpoint)

    def register(self, endpoint: EndpointStandin, **fields: object) -> None:
        """Write the store entry of an endpoint.

        :param fields: entry fields that differ from the defaults.
        """
        service = 'chat' if endpoint.stage else 'ledger'
        entry = endpoint.compile_entry(service, **fields)
        self.store.put('servers', endpoint.endpoint_id, entry)

    async def start_daemon(
        self,
        host: str = 'host-1',
        store_port: int | None = None,
        link_megabits: float = 1000,
        zone: str = 'zone-a',
        links: EndpointLinks | None = None,
    ) -> EntryApplication:
        """Start a daemon and wait until its ports are bound."""
        port = self.store_port if store_port is None else store_port
        settings = HostSettings(
            host=host,
            ip='127.0.0.1',
            availability_zone=zone,
            caller_address=Address('127.0.0.1', 0),
            ready_address=Address('127.0.0.1', 0),
            peer_address=Address('127.0.0.1', 0),
            metrics_address=Address('127.0.0.1', 0),
            store_address=Address('127.0.0.1', port),
            duties_address=Address('127.0.0.1', self.duties_port),
            memory_mb=300,
            max_descriptors=1000,
            link_megabits=link_megabits,
            bounds=BOUNDS,
        )
        parts = create_parts(settings)
        if links is not None:
            parts = links.replace_addresses(parts)
        self.parts.append(parts)
        daemon = EntryApplication(settings, parts)
        await self.nursery.start(self._run_daemon, daemon)
        self.daemons.append(daemon)
        return daemon

    async def open_links(self) -> EndpointLinks:
        """Return links of a daemon to all endpoints of today."""
        links = EndpointLinks(self.nursery)
        for endpoint in self.endpoints.values():
            await links.add(endpoint)
        return links

    async def stop_daemons(self) -> None:
        """End all daemons at once, without the steps of a planned stop."""
        for scope in self._daemon_scopes:
            scope.cancel()
        self.daemons.clear()
        self._daemon_scopes.clear()
        await trio.lowlevel.checkpoint()

    def stop_daemon(self, number: int) -> None:
        """End one daemon at once; the others keep their numbers."""
        self._daemon_scopes[number].cancel()

    async def _run_daemon(
        self, daemon: EntryApplication, task_status: trio.TaskStatus
    ) -> None:
        with trio.CancelScope() as scope:
            self._daemon_scopes.append(scope)
            await daemon.application.run(task_status=task_status)

    async def send_request(
        self,
        path: str,
        request_id: str = 'r-1',
        *,
        body: bytes = b'body',
        daemon: int = 0,
        **headers: str,
    ) -> HttpResponse:
        """Send a request to a daemon and return the answer."""
        request = self.compile_request(path, request_id, body, **headers)
        port = self.daemons[daemon].caller_port
        async with HttpClient(Address('127.0.0.1', port)) as client:
            return await client.request(request, _TIMEOUT)

    async def discard_stream(self, path: str, seconds: float) -> None:
        """Read a stream of the first daemon for a while, then leave.

        :raises EOFError: if the stream ends before.
        """
        address = Address('127.0.0.1', self.daemons[0].caller_port)
        request = self.compile_request(path, 'r-1', b'body')
        with trio.move_on_after(seconds):
            async with (
                HttpClient(address) as client,
                client.open_response(request) as answer,
            ):
                while await answer.receive_available():
                    await trio.lowlevel.checkpoint()
            raise EOFError('the stream has ended')

    def compile_request(
        self, path: str, request_id: str, body: bytes, **headers: str
    ) -> HttpRequest:
        """Return a request of a caller."""
        given = {
            'host': 'desk.example',
            'x-request-id': request_id,
            'x-deadline-ms': '2500',
            'x-key': 'key-1',
            'x-token-count': '1200,20',
            'x-prefix-hash': f'rules:1000,{request_id}:200',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        return HttpRequest(
            'POST',
            path,
            [(name.encode(), text.encode()) for name, text in given.items()],
            body,
        )

    async def wait_for(self, is_reached: Callable[[], object]) -> None:
        """Poll a condition until it is true or the scenario times out."""
        while not is_reached():
            await trio.sleep(0.01)

    async def wait_until_seen(self) -> None:
        """Wait until all daemons know the current endpoints."""
        running = [
            scope for scope in self._daemon_scopes if not scope.cancel_called
        ]
        await self.wait_for(
            lambda: self.store.count_followers('servers') >= len(running)
        )
        # The daemons pass changes on at an interval.
        await trio.sleep(_SYNC_SECONDS)

    async def open(self) -> None:
        """Store the configuration, start a daemon and wait until it serves."""
        self.store.put('op', 'config', CONFIGURATION)
        await self.start_daemon()
        await self.wait_until_served()

    def remove_stage(self, stage: str | None) -> None:
        """Remove the entries of all endpoints of a stage."""
        for endpoint in self.endpoints.values():
            if endpoint.stage == stage:
                self.store.remove('servers', endpoint.endpoint_id)

    async def wait_until_served(self) -> None:
        """Wait until each service answers, then clear the recorded requests."""
        for path in ('/read/1', '/ask/1'):
            answer = await self.send_request(path, 'probe')
            while answer.status != 200:
                await trio.sleep(0.02)
                answer = await self.send_request(path, 'probe')
        for endpoint in self.endpoints.values():
            endpoint.received.clear()
            endpoint.runs.clear()


class ScenarioRunner:
    """Runs a scenario with a time limit."""

    def __init__(self, limit_seconds: float = 20) -> None:
        """Create a runner.

        :param limit_seconds: time after which the scenario fails.
        """
        self._limit = limit_seconds

    def run(
        self, scenario: Callable[[EntryEnvironment], Awaitable[None]]
    ) -> None:
        """Run a scenario in a started environment."""
        trio.run(self._run_scenario, scenario)

    async def _run_scenario(
        self, scenario: Callable[[EntryEnvironment], Awaitable[None]]
    ) -> None:
        with trio.fail_after(self._limit):
            async with trio.open_nursery() as nursery:
                env = EntryEnvironment(nursery)
                await env.start()
                await scenario(env)
                nursery.cancel_scope.cancel()
