"""Failure kinds of calls to the platform."""

import enum


class TableFailure(enum.Enum):
    """Whether a failed call to the table service may have taken effect."""

    #: The request was not sent, or the service answered that it did nothing.
    NOT_DONE = 'not_done'
    #: The request was sent but no answer arrived; it may have taken effect.
    UNKNOWN = 'unknown'
