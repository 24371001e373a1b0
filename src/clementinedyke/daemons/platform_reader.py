"""Platform calls of the control cores: records, lists and member rows."""

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import (
    Poll,
    PollAnswered,
    PollFailed,
)
from clementinedyke.configuration.messages import ConfigurationRow
from clementinedyke.control.messages import Member
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.client import HttpClient, HttpRequest
from clementinedyke.reference_platform.tables import (
    ABSENT,
    Condition,
    TableClient,
    Write,
)

MEMBERS_TABLE = 'members'
RECORDS_TABLE = 'records'
_LIST_PATHS = ('/v1/endpoints', '/v1/hosts')
_TIMEOUT: Milliseconds = 1500
_STATUS_OK = 200


class PlatformReader:
    """Reads records and lists, and reads and writes the rows of members."""

    def __init__(self, platform: HttpClient) -> None:
        """Create the reader.

        :param platform: HTTP client of the platform.
        """
        self._platform = platform
        self._tables = TableClient(platform, _TIMEOUT)

    async def poll(self, poll: Poll) -> PollAnswered | PollFailed:
        """Return the records that were written after a version.

        :param poll: poll number and version that the core asks for.
        """
        changes = await self._tables.get_changes(RECORDS_TABLE, poll.since)
        if changes.is_err():
            return PollFailed(poll.number)
        snapshot = changes.unwrap()
        rows = [
            ConfigurationRow(row.key, row.version, row.value)
            for row in snapshot.rows
        ]
        return PollAnswered(poll.number, snapshot.revision, rows)

    async def read_list(self, place: int) -> bytes | None:
        """Return the JSON content of a platform list, None on failure.

        :param place: index of the list in an advert: 0 for endpoints, 1 for
            hosts.
        """
        request = HttpRequest('GET', _LIST_PATHS[place])
        try:
            answer = await self._platform.request(request, _TIMEOUT)
        except (PeerUnavailableError, AnswerLostError):
            return None
        return answer.body if answer.status == _STATUS_OK else None

    async def list_seeds(self) -> tuple[str, ...]:
        """Return the addresses in table ``members``, empty on failure."""
        listed = await self._tables.list_rows(MEMBERS_TABLE)
        if listed.is_err():
            return ()
        rows = listed.unwrap().rows
        return tuple(str(row.value['address']) for row in rows)

    async def register(self, member: Member) -> bool:
        """Write the row of a daemon; return whether the write is confirmed.

        :param member: record of this daemon.
        """
        row = {'address': member.address, 'run': member.run}
        write = Write(MEMBERS_TABLE, member.daemon_id, row)
        result = await self._tables.commit([], [write])
        return result.is_ok()

    async def remove(self, member: Member) -> bool:
        """Delete the row of a stopped daemon unless a later run wrote it.

        Returns whether the row was deleted.

        :param member: last known member record of the daemon.
        """
        listed = await self._tables.get_row(MEMBERS_TABLE, member.daemon_id)
        row = None if listed.is_err() else listed.unwrap()
        if row is None or row.value['run'] != member.run:
            return False
        condition = Condition(MEMBERS_TABLE, member.daemon_id, row.version)
        write = Write(MEMBERS_TABLE, member.daemon_id)
        result = await self._tables.commit([condition], [write])
        return result.is_ok() and condition.version != ABSENT
