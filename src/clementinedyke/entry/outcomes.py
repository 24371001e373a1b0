"""How a stream ends that can neither go on nor be refused."""


class StreamBroken(Exception):
    """A stream ended behind its head and cannot go on."""
