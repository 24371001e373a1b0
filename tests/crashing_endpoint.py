"""Endpoint stand-in that ends when it runs a certain request."""

import itertools
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from tests.entry_environment import EntryEnvironment
from tests.platform_standin import EndpointStandin

from clementinedyke.http.message import ResponseWriter, ServerRequest
from clementinedyke.http.server import HttpServer

#: Body of the request that ends each endpoint that runs it.
FATAL_BODY = b'fatal'
_HOST = '127.0.0.1'
#: Ports below those that the kernel gives to connections and to listeners
#: without a port. Such a port may be taken before the endpoint starts again.
FIRST_PORT = 10000
_PORT_COUNT = 20000
#: Suites that run at the same time begin at different ports.
_numbers = itertools.count(os.getpid() * 89)
_RUN_SECONDS = 0.02
_RESTART_SECONDS = 0.2


def has_fatal_body(request: ServerRequest) -> bool:
    """Return whether a request is the one with the fatal body."""
    return request.body == FATAL_BODY


@dataclass
class CrashingEndpoint:
    """Process of an endpoint, which starts again at its address.

    Each start has another id and start time. ``arrivals`` has the ids of the
    fatal requests that reached it, over all starts, and ``ends`` counts its
    ends, of which ``ended_at`` has the times.
    """

    env: EntryEnvironment
    name: str
    stage: str | None = None
    is_fatal: Callable[[ServerRequest], bool] = has_fatal_body
    arrivals: list[str] = field(default_factory=list)
    ends: int = 0
    ended_at: list[float] = field(default_factory=list)
    _port: int = 0

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until the scenario ends, with a pause after each end."""
        while True:
            standin = EndpointStandin(
                f'{self.name}.{self.ends}', self.stage, override=self._crash
            )
            async with trio.open_nursery() as nursery:
                server = HttpServer(standin.respond)
                self._port = await self._listen(nursery, server)
                standin.port = self._port
                self._scope = nursery.cancel_scope
                self.env.endpoints[self.name] = standin
                self.env.register(standin, born=1000 + self.ends)
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
            self.ends += 1
            self.ended_at.append(trio.current_time())
            await trio.sleep(_RESTART_SECONDS)
            self.env.store.remove('servers', standin.endpoint_id)

    async def _listen(self, nursery: trio.Nursery, server: HttpServer) -> int:
        """Listen at the former port, or at one that stays free meanwhile."""
        if self._port:
            return await nursery.start(server.serve, _HOST, self._port)
        while True:
            port = FIRST_PORT + next(_numbers) % _PORT_COUNT
            try:
                return await nursery.start(server.serve, _HOST, port)
            except OSError as error:
                sys.stderr.write(f'port {port}: {error}\n')

    def end(self) -> None:
        """End the process, whatever it runs."""
        self._scope.cancel()

    async def _crash(
        self,
        standin: EndpointStandin,
        request: ServerRequest,
        response: ResponseWriter,
    ) -> bool:
        """End the process if it runs the fatal request."""
        if request.get_header(b'x-stage') == 'prefill':
            return False
        if not self.is_fatal(request):
            await trio.sleep(_RUN_SECONDS)
            return False
        self.arrivals.append(request.get_header(b'x-request-id'))
        await trio.sleep(_RUN_SECONDS)
        self._scope.cancel()
        await trio.sleep_forever()
        return True


async def start_endpoints(
    env: EntryEnvironment,
    names: list[str],
    stage: str | None = None,
    is_fatal: Callable[[ServerRequest], bool] = has_fatal_body,
) -> list[CrashingEndpoint]:
    """Start endpoints that end under the fatal request.

    They replace the stand-ins of their service and stage.
    """
    for standin in list(env.endpoints.values()):
        if standin.stage == stage:
            env.store.remove('servers', standin.endpoint_id)
            env.endpoints.pop(standin.endpoint_id)
    started = [CrashingEndpoint(env, name, stage, is_fatal) for name in names]
    for endpoint in started:
        await env.nursery.start(endpoint.run)
    return started
