"""Exit statuses and errors of the command line."""

import enum

from clementinedyke.exceptions import ClementinedykeError


class ExitStatus(enum.IntEnum):
    """Exit status of a command; documented in docs/operators.md."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5


class CommandError(ClementinedykeError):
    """A command failed."""

    def __init__(self, message: str, exit_status: ExitStatus) -> None:
        """Create the error.

        :param message: error message for the operator, a single line.
        :param exit_status: exit status of the command.
        """
        super().__init__(message)
        self.exit_status = exit_status
