"""Stand-in for a plain service that counts the requests it runs."""

from collections.abc import Mapping
from functools import partial

import trio

from clementinedyke.http.server import (
    HttpServer,
    ResponseWriter,
    ServerRequest,
)

#: Path of the report of received requests, for tests in other processes.
REPORT_PATH = '/standin/report'
_OK = 200
_CREATED = 201
_METHOD_NOT_ALLOWED = 405


class ServiceStandin:
    """Answers a POST request on any path with its sequence number."""

    def __init__(self, delay: float = 0) -> None:
        """Create a service.

        :param delay: seconds between running a request and its response.
        """
        self._delay = delay
        #: Number of requests that were run.
        self.runs = 0
        self.received_headers: list[Mapping[str, str]] = []
        self._server = HttpServer(self.respond)

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Start serving and return the bound port.

        :param nursery: nursery that runs the server.
        :param host: IP address to bind.
        :param port: TCP port, 0 for a free one.
        """
        serve = partial(self._server.serve, host, port)
        return int(await nursery.start(serve))

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Run one request, or answer with the report.

        :param request: request from a daemon or a test.
        :param response: writer for the response.
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
