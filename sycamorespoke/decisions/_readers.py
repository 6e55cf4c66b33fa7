"""Choice of the hosts that read the block stores and shared objects for all hosts.

In a large deployment not every host can read the sources itself: a block store serves
only a few readers at a time, and each API call to the platform has a cost. A few
readers follow the sources, and the other hosts query the readers.
"""

import attrs

from sycamorespoke.decisions import _placement, _watch_timing

READER_RANKING_KEY = "store readers"
# If one of them has left or is unreachable, hosts can query the other.
READERS_PER_DATA_CENTRE = 2


@attrs.frozen
class ReaderPlan:
    """How one host follows the block stores and the shared objects.

    Parameters
    ----------
    is_reader : bool
        Whether this host reads the sources itself.
    readers : tuple of str
        Names of the readers to query otherwise, in order of preference; of a reader,
        the other readers.
    """

    is_reader: bool
    readers: tuple[str, ...] = ()


def count_readers(data_centres_by_host, max_readers):
    """Compute how many hosts should be readers.

    Parameters
    ----------
    data_centres_by_host : dict of str to str
        Data centres of all hosts.
    max_readers : int
        Number of readers that every store can serve, above 0.

    Returns
    -------
    int
        ``max_readers`` in a small deployment; otherwise at most two for each data
        centre.

    Examples
    --------
    >>> count_readers({f"h{n}": f"dc{n % 3}" for n in range(12)}, max_readers=10)
    10
    >>> count_readers({f"h{n}": f"dc{n % 3}" for n in range(74)}, max_readers=10)
    6
    """
    if len(data_centres_by_host) <= _watch_timing.MAX_DIRECT_HOSTS:
        return max_readers
    data_centres = set(data_centres_by_host.values())
    return min(max_readers, READERS_PER_DATA_CENTRE * len(data_centres))


def plan_readers(host, data_centres_by_host, max_readers):
    """Plan whether a host reads the sources itself or queries readers.

    Parameters
    ----------
    host : str
        Name of this host.
    data_centres_by_host : dict of str to str
        Data centres of all hosts.
    max_readers : int
        Number of readers, see `count_readers`.

    Returns
    -------
    ReaderPlan
        Readers are spread over the data centres, and hosts prefer readers in their
        own data centre.

    Examples
    --------
    >>> hosts = {f"h{n}": f"dc{n % 3}" for n in range(30)}
    >>> plans = {host: plan_readers(host, hosts, 6) for host in hosts}
    >>> sum(plan.is_reader for plan in plans.values())
    6
    >>> other = next(host for host in hosts if not plans[host].is_reader)
    >>> hosts[plans[other].readers[0]] == hosts[other]
    True
    """
    if host not in data_centres_by_host or len(data_centres_by_host) <= max_readers:
        return ReaderPlan(is_reader=True)
    readers = _choose_readers(data_centres_by_host, max_readers)
    if host in readers:
        return ReaderPlan(is_reader=True, readers=tuple(sorted(readers - {host})))
    ranked = _placement.rank_by_key(host, readers)
    here = data_centres_by_host[host]
    near = [each for each in ranked if data_centres_by_host[each] == here]
    far = [each for each in ranked if data_centres_by_host[each] != here]
    return ReaderPlan(is_reader=False, readers=tuple(near + far))


def _choose_readers(data_centres_by_host, max_readers):
    ranked = _placement.rank_spread(READER_RANKING_KEY, data_centres_by_host)
    return set(ranked[:max_readers])
