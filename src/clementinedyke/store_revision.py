"""Revisions of a store that may return from an older copy.

The store counts its eras, which rise by one each time it returns from a copy.
Its numbers are then given out again, so a revision is ordered by its era first.
"""

#: Bits of a revision below those of its era. At 1,000 transactions a second
#: they last 34 years within one era.
NUMBER_BITS = 40
_NUMBER_MASK = (1 << NUMBER_BITS) - 1
#: Bits of a revision; they are sent as signed integers of 64 bits.
_REVISION_BITS = 63
#: Highest era that a revision can bear.
MAX_ERA = (1 << (_REVISION_BITS - NUMBER_BITS)) - 1
#: Bits of a fence below those of its era. At one tenure in 3 s they last 36
#: days within one era.
_TENURE_BITS = 20
_TENURE_MASK = (1 << _TENURE_BITS) - 1


def compile_revision(era: int, number: int) -> int:
    """Return a revision, which is higher than any of an earlier era.

    :param era: era of the store, 0 if it tells none.
    :param number: number that the store gave out in this era.
    """
    return era << NUMBER_BITS | number


def get_era(revision: int) -> int:
    """Return the era of a revision.

    :param revision: revision with its era.
    """
    return revision >> NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number that the store gave out.

    :param revision: revision with its era.
    """
    return revision & _NUMBER_MASK


def compile_fence(era: int, former: int) -> int:
    """Return the fence of a new tenure, which no former one has had.

    The store may have lost the last fence, but not that it returned.

    :param era: era of the store in which the lease is acquired.
    :param former: last known fence, 0 if there is none.
    """
    return max(former, era << _TENURE_BITS) + 1


def get_fence_era(fence: int) -> int:
    """Return the era in which a fence was given out.

    :param fence: fence of a tenure.
    """
    return fence >> _TENURE_BITS


def is_first_fence(fence: int) -> bool:
    """Return whether a fence is the first one of its era.

    :param fence: fence of a tenure.
    """
    return fence & _TENURE_MASK == 1
