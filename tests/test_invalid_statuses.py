"""Tests of answers with a status that HTTP does not have."""

import pytest
import trio
from tests.caller_tools import RawEndpoint, serve_callers
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.test_entry_answers import send_through
from tests.test_lost_links import open_with_links

from clementinedyke.http.client import HttpResponse

#: RFC 9110, section 15: a status is a number from 100 to 599.
_STATUSES = (b'000', b'099', b'600', b'999')
_ROUTES = [('/book/1', None), ('/read/1', None), ('/ask/1', 'decode')]


def compile_answer(status: bytes) -> bytes:
    """Return a whole answer of an endpoint to request ``r-1``."""
    return (
        b'HTTP/1.1 %b Status\r\nX-Server-Signature: signed\r\n'
        b'X-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nbody' % status
    )


@pytest.mark.parametrize('status', _STATUSES)
class TestInvalidStatuses:
    """Guards against callers who get bytes that are no answer.

    Endpoints in trouble sent the statuses 000, 600 and 999, and callers got the
    last two as answers.
    """

    @pytest.mark.parametrize(('path', 'stage'), _ROUTES)
    def test_direct(self, status: bytes, path: str, stage: str | None) -> None:
        """The outcome of a request with such an answer is unknown."""
        endpoint = RawEndpoint(compile_answer(status))
        received = send_through(endpoint, stage, path)
        assert received is not None
        assert received.status == 502

    def test_between_daemons(self, status: bytes) -> None:
        """A daemon that forwards such an answer reports it as malformed."""
        endpoint = RawEndpoint(compile_answer(status))
        answers: list[HttpResponse] = []

        async def scenario(env: EntryEnvironment) -> None:
            port = await endpoint.start(env.nursery)
            _, links = await open_with_links(env, port)
            links.cut('refuse')
            answers.append(await env.send_request('/book/1'))

        ScenarioRunner().run(scenario)
        assert answers[0].status == 502
        assert any(b'POST' in received for received in endpoint.received)

    async def _check_serve(self, status: bytes, path: str) -> None:
        async with trio.open_nursery() as nursery:
            port = await RawEndpoint(compile_answer(status)).start(nursery)
            async with serve_callers([port]) as caller_port:
                received = await caller_port.post(path)
                assert received.status == 502
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize(
        'path', ['/services/ledger/slots', '/services/desk/prices']
    )
    def test_serve(self, status: bytes, path: str) -> None:
        """Callers of serve get no such answer either."""
        trio.run(self._check_serve, status, path)


def test_largest_status() -> None:
    """The largest status of HTTP is an answer like any other failure."""
    received = send_through(
        RawEndpoint(compile_answer(b'599')), None, '/book/1'
    )
    assert received is not None
    assert (received.status, received.body) == (599, b'body')
