"""Revisions of a store that may come back from an older copy of itself.

The store counts its changes with one number, and its returns from an older copy with
another, the era. After such a return it gives numbers out again for other changes, so
that a number alone identifies nothing. A revision therefore holds both, the era in its
upper bits, and is ordered like any integer: each revision of an era is above all of
the eras before it. Without eras, a revision is the number.
"""

NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# A revision is encoded as a signed integer of 64 bits.
MAX_ERA = (1 << (63 - NUMBER_BITS)) - 1


def make_revision(era, number):
    """Make a revision of an era and a number.

    Parameters
    ----------
    era : int
        Era of the store, 0 to `MAX_ERA`; 0 if the store states none.
    number : int
        Number of the change in that era, 0 to `MAX_NUMBER`; 0 stands for the state
        before any change.

    Returns
    -------
    int
        The revision.

    Raises
    ------
    ValueError
        If one of them is out of range.

    Examples
    --------
    >>> make_revision(0, 17)
    17
    >>> make_revision(3, 4) > make_revision(2, 900)
    True
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"the era {era} is out of range")
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"the number {number} of a revision is out of range")
    return era << NUMBER_BITS | number


def get_era(revision):
    """Return the era of a revision.

    Examples
    --------
    >>> get_era(make_revision(3, 17)), get_era(17)
    (3, 0)
    """
    return revision >> NUMBER_BITS


def get_number(revision):
    """Return the number of a revision in its era.

    Examples
    --------
    >>> get_number(make_revision(3, 17))
    17
    """
    return revision & MAX_NUMBER
