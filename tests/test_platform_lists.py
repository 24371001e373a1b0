"""Tests of the client that reads the platform's list of hosts."""

import trio

from clementinedyke.call_failures import TableFailure
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.reference_platform.hosts import HostListClient
from clementinedyke.standins.platform import PlatformStandin


async def list_hosts(listed: list[object]) -> object:
    """Return the client's result or error for a list from the platform."""
    async with trio.open_nursery() as nursery:
        platform = PlatformStandin()
        platform.hosts = listed  # type: ignore[assignment]
        port = await platform.start(nursery, '127.0.0.1', 0)
        client = HostListClient(HttpClient(Address('127.0.0.1', port)))
        answer = await client.list_hosts()
        nursery.cancel_scope.cancel()
    return answer.ok() if answer.is_ok() else answer.err()


class TestHostList:
    """Guards against a malformed platform answer that crashes the daemon."""

    def test_malformed_list_is_failure(self) -> None:
        """A malformed list is reported as a failed read."""
        assert trio.run(list_hosts, ['host-a']) is TableFailure.NOT_DONE

    def test_host_names(self) -> None:
        """The names of the hosts are returned."""
        assert trio.run(list_hosts, [{'host': 'a'}]) == frozenset(('a',))
