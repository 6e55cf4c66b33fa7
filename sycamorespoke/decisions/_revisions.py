"""Which of two revisions of a document a daemon keeps."""


def choose_newer_revision(current, offered):
    """Choose between the document in force and one that was offered.

    Parameters
    ----------
    current : object with a ``revision``
        The document in force.
    offered : object with a ``revision``
        From the platform, a peer or a watch; may be late or repeated.

    Returns
    -------
    object
        The offered one if its revision is higher, else the present one, so that
        no order of delivery brings an older revision back.

    Examples
    --------
    >>> from sycamorespoke import world
    >>> choose_newer_revision(world.ServiceState(4), world.ServiceState(3)).revision
    4
    """
    return offered if offered.revision > current.revision else current
