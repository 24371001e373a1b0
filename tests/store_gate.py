"""Access to the stand-in of the store that can be refused."""

from tests.platform_standin import StoreStandin

from clementinedyke.http.message import ResponseWriter, ServerRequest


class StoreGate:
    """Access to the store that can be refused to one daemon."""

    def __init__(self, store: StoreStandin) -> None:
        """Create an open gate."""
        self._store = store
        self.is_closed = False

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Pass on a call, or refuse it while the gate is closed."""
        if self.is_closed:
            await response.send_json(503, {}, [])
            return
        await self._store.respond(request, response)
