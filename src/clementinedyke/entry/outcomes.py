"""Errors of streams that have started."""


class StreamBroken(Exception):
    """A stream failed after its head was sent and cannot be resumed.

    Since the status has been sent, the connection to the caller is closed
    instead of an error answer.
    """
