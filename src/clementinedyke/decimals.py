"""Decimal numbers from peers and settings."""

#: Digits of the largest number of 64 bits.
_MAX_DIGITS = 19


def parse_decimal(text: str, maximum: int) -> int | None:
    """Return a whole number, None if the text is not one within the bounds.

    Only the ASCII digits count. ``str.isdigit`` is also true for characters
    that ``int`` does not accept, such as U+00B2.

    :param text: digits without sign, white space or separators.
    :param maximum: largest number to accept.
    """
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    number = int(text)
    return number if number <= maximum else None
