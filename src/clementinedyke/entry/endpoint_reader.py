"""Reads the registered endpoints from the store once."""

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.platform_parts import PlatformParts

_MILLISECONDS_PER_SECOND = 1000
#: The store answers within some milliseconds, and a caller waits.
_TIMEOUT: Milliseconds = 300


class EndpointReader:
    """Reads endpoints for decisions that must not rest on an old view."""

    def __init__(self, platform: PlatformParts) -> None:
        """Create the reader.

        :param platform: store, its table of endpoints and their decoder.
        """
        self._platform = platform

    async def read(self) -> list[EntryEndpoint] | None:
        """Return the registered endpoints, None if the store doesn't answer.

        Entries that cannot be decoded name no endpoint and are left out.
        """
        platform = self._platform
        with trio.move_on_after(_TIMEOUT / _MILLISECONDS_PER_SECOND):
            answer = await platform.store.read_table(platform.endpoints_table)
            if answer.is_err():
                return None
            decoded = (
                platform.decode_endpoint(row.key, row.content or b'')
                for row in answer.unwrap().rows
            )
            return [entry.unwrap() for entry in decoded if entry.is_ok()]
        return None
