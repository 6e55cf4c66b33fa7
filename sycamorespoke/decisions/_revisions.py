"""Revisions of documents that operators publish."""

from sycamorespoke import domain


def choose_newer_revision(current, offered):
    """Choose the newer of the current document and an offered one.

    Parameters
    ----------
    current : object with a ``revision``
        Current document.
    offered : object with a ``revision``
        Document received from the platform, a peer or a watch; it may be late or a
        duplicate.

    Returns
    -------
    object
        The offered document if its revision is higher, else the current one, so
        that out-of-order delivery never restores an older revision.

    Examples
    --------
    >>> from sycamorespoke import domain
    >>> choose_newer_revision(domain.ServiceState(4), domain.ServiceState(3)).revision
    4
    """
    return offered if offered.revision > current.revision else current


def compute_next_revision(revision, era):
    """Compute the revision of a document that replaces another one.

    Parameters
    ----------
    revision : int
        Revision of the document that was read from the store.
    era : int
        Era of the store. The document that was read may be one of an older copy, and
        later ones of an earlier era may be in force.

    Returns
    -------
    int
        A revision above all of that document and of earlier eras.

    Examples
    --------
    >>> compute_next_revision(4, 0)
    5
    >>> domain.get_era(compute_next_revision(4, 2))
    2
    """
    era = max(era, domain.get_era(revision))
    return domain.make_revision(era, domain.get_number(revision) + 1)
