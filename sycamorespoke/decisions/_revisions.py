"""Choice between two revisions of a document."""


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
