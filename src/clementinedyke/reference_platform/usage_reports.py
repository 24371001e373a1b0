"""Client of the platform's usage reports.

The platform does not check a fence, so none is sent.
"""

import msgspec
from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.http.client import Address, HttpRequest
from clementinedyke.peer_calls import (
    DEFAULT_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    call_unpooled,
)


class UsageReportClient:
    """Sends and looks up usage reports; one connection per call."""

    def __init__(
        self, address: Address, timeout: Milliseconds = DEFAULT_TIMEOUT
    ) -> None:
        """Create a client.

        :param address: the platform's address.
        :param timeout: maximum wait for an answer in milliseconds.
        """
        self._address = address
        self._timeout = timeout

    async def send_report(
        self, window: int, figures: dict[str, int]
    ) -> Result[None, TableFailure]:
        """Send the report of a usage window.

        :param window: number of the window, which identifies the report.
        :param figures: usage totals by the name of the counter.
        """
        request = HttpRequest(
            'PUT',
            f'/v1/usage/reports/{window}',
            body=msgspec.json.encode(figures),
        )
        answer = await call_unpooled(self._address, request, self._timeout)
        if answer.is_err():
            return Err(answer.unwrap_err())
        if answer.unwrap().status != STATUS_OK:
            return Err(TableFailure.NOT_DONE)
        return Ok(None)

    async def has_report(self, window: int) -> Result[bool, TableFailure]:
        """Return whether the platform has the report of a usage window.

        :param window: number of the window.
        """
        request = HttpRequest('GET', f'/v1/usage/reports/{window}')
        answer = await call_unpooled(self._address, request, self._timeout)
        if answer.is_err():
            return Err(answer.unwrap_err())
        status = answer.unwrap().status
        if status not in {STATUS_OK, STATUS_NOT_FOUND}:
            return Err(TableFailure.NOT_DONE)
        return Ok(status == STATUS_OK)
