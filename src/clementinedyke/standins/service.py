"""Stand-in of a plain service that counts its runs."""

from collections.abc import Mapping
from functools import partial

import trio

from clementinedyke.http.server import (
    HttpServer,
    ResponseWriter,
    ServerRequest,
)

#: What a stand-in received, for tests in other processes.
REPORT_PATH = '/standin/report'
_OK = 200
_CREATED = 201
_METHOD_NOT_ALLOWED = 405


class ServiceStandin:
    """Answers POST on any path with the number of its runs."""

    def __init__(self, delay: float = 0) -> None:
        """Create a service that has run nothing.

        :param delay: seconds between a run and its answer.
        """
        self._delay = delay
        self.runs = 0
        self.received_headers: list[Mapping[str, str]] = []
        self._server = HttpServer(self.respond)

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Serve in a nursery and return the bound port.

        :param nursery: nursery that runs the server.
        :param host: IP number to bind.
        :param port: TCP port, 0 for a free one.
        """
        serve = partial(self._server.serve, host, port)
        return int(await nursery.start(serve))

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Run one request.

        :param request: request from a daemon.
        :param response: writer of the answer.
        """
        if request.method == 'GET' and request.path == REPORT_PATH:
            report = {'runs': self.runs, 'headers': self.received_headers}
            await response.send_json(_OK, report)
            return
        if request.method != 'POST':
            await response.send_json(_METHOD_NOT_ALLOWED, {})
            return
        self.received_headers.append(
            {
                name.decode(): content.decode()
                for name, content in request.headers
            }
        )
        self.runs += 1
        run = self.runs
        await trio.sleep(self._delay)
        await response.send_json(_CREATED, {'run': run})
