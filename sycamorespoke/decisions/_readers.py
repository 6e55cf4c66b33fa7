"""Which hosts read the stores and the shared objects, and who tells the rest.

Answers large deployments: a store of cached parts serves only a few readers at a
time, and each call to the platform costs.
"""

import attrs

from sycamorespoke.decisions import _placement, _watch_timing

READER_RANKING_KEY = "store readers"
# One may be gone or cut off, and the other still tells.
READERS_PER_DATA_CENTRE = 2


@attrs.frozen
class ReaderPlan:
    """How one host learns what the stores and the platform hold.

    Parameters
    ----------
    is_reader : bool
        It reads by itself.
    readers : tuple of str
        Else the hosts to ask, in order.
    """

    is_reader: bool
    readers: tuple[str, ...] = ()


def count_readers(data_centres_by_host, most):
    """Return how many hosts read for all.

    Parameters
    ----------
    data_centres_by_host : dict of str to str
        All hosts and where they stand.
    most : int
        Readers that every store serves at least, above 0.

    Examples
    --------
    >>> count_readers({f"h{n}": f"dc{n % 3}" for n in range(12)}, most=10)
    10
    >>> count_readers({f"h{n}": f"dc{n % 3}" for n in range(74)}, most=10)
    6
    """
    if len(data_centres_by_host) <= _watch_timing.MAX_DIRECT_HOSTS:
        return most
    data_centres = set(data_centres_by_host.values())
    return min(most, READERS_PER_DATA_CENTRE * len(data_centres))


def plan_readers(host, data_centres_by_host, most):
    """Plan how a host learns what the stores and the platform hold.

    Parameters
    ----------
    host : str
        This host.
    data_centres_by_host : dict of str to str
        All hosts and where they stand.
    most : int
        Readers, see `count_readers`.

    Returns
    -------
    ReaderPlan
        Readers are spread over the data centres, so that hosts ask near ones.

    Examples
    --------
    >>> hosts = {f"h{n}": f"dc{n % 3}" for n in range(30)}
    >>> plans = {host: plan_readers(host, hosts, 6) for host in hosts}
    >>> sum(plan.is_reader for plan in plans.values())
    6
    >>> asking = next(host for host in hosts if not plans[host].is_reader)
    >>> hosts[plans[asking].readers[0]] == hosts[asking]
    True
    """
    if host not in data_centres_by_host or len(data_centres_by_host) <= most:
        return ReaderPlan(is_reader=True)
    readers = _choose_readers(data_centres_by_host, most)
    if host in readers:
        return ReaderPlan(is_reader=True)
    ranked = _placement.rank_by_key(host, readers)
    here = data_centres_by_host[host]
    near = [each for each in ranked if data_centres_by_host[each] == here]
    far = [each for each in ranked if data_centres_by_host[each] != here]
    return ReaderPlan(is_reader=False, readers=tuple(near + far))


def _choose_readers(data_centres_by_host, most):
    ranked = _placement.rank_by_key(READER_RANKING_KEY, data_centres_by_host)
    turns_by_data_centre = {}
    order = []
    for rank, host in enumerate(ranked):
        data_centre = data_centres_by_host[host]
        turn = turns_by_data_centre.get(data_centre, 0)
        turns_by_data_centre[data_centre] = turn + 1
        order.append((turn, rank, host))
    return {host for _, _, host in sorted(order)[:most]}
