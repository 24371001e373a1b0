"""Exit statuses and failures of the command line."""

import enum

from clementinedyke.exceptions import ClementinedykeError


class ExitStatus(enum.IntEnum):
    """Exit status of a command; the table stands in docs/operators.md."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5


class CommandError(ClementinedykeError):
    """A command did not do what it was asked for."""

    def __init__(self, message: str, exit_status: ExitStatus) -> None:
        """Create the error.

        :param message: one line for the operator.
        :param exit_status: exit status of the command.
        """
        super().__init__(message)
        self.exit_status = exit_status
