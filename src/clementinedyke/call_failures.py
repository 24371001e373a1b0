"""Kinds of failure of a call to the platform."""

import enum


class TableFailure(enum.Enum):
    """Why a call to the table service gave no answer."""

    #: Nothing was sent, or the service said that it did nothing.
    NOT_DONE = 'not_done'
    #: The call was sent and its answer was lost; it may have taken effect.
    UNKNOWN = 'unknown'
