"""How a job of the gateway ends when no answer is delivered."""

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode


class JobFailure(Exception):
    """The job gets a final answer of the daemon's own."""

    def __init__(
        self,
        code: ResultCode,
        message: str,
        retry_after: Milliseconds | None = None,
    ) -> None:
        """Create the failure.

        :param code: numbered result code.
        :param message: text for the caller.
        :param retry_after: when the caller should come back, in milliseconds.
        """
        super().__init__(message)
        self.code = code
        self.retry_after = retry_after


class StreamBroken(Exception):
    """A stream ended behind its head and cannot go on."""
