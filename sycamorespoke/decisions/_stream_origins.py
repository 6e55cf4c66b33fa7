"""Which upstreams may continue a stream, and which hosts know it.

What upstreams with different software write does not fit together, so a stream may
continue only at upstreams with the software version that began it. The host that
received the first event records the version at a few hosts, which are the same for
every host that is asked to continue the stream.
"""

import attrs

from sycamorespoke.decisions import _placement

# Hosts that keep the record of a stream besides the one that began it.
KEEPERS = 3
# Hosts that are asked for a record: more than keep it, since the lists of hosts of
# two hosts may differ for a while.
SOURCES = 8
# Of many hosts only so many keep records, to bound the connections between hosts.
MAX_KEEPING_HOSTS = 24
KEEPING_RANKING_KEY = "stream origins"


@attrs.frozen
class StreamOrigin:
    """Which upstreams may continue a stream.

    Parameters
    ----------
    service : str
        Service of the upstream that began the stream.
    software_version : str
        Version of its software; empty if unknown.
    """

    service: str
    software_version: str

    def allows(self, service, software_version):
        """Return whether an upstream may continue the stream.

        Parameters
        ----------
        service, software_version : str
            Service of the upstream and version of its software, empty if unknown.

        Examples
        --------
        >>> StreamOrigin("s", "v1").allows("s", "v1")
        True
        >>> StreamOrigin("s", "").allows("s", "")
        False
        """
        is_known = self.software_version != ""
        is_same = self == StreamOrigin(service, software_version)
        return is_known and is_same


def choose_origin_keepers(request_id, data_centres_by_host):
    """Choose the hosts that keep the record of a stream.

    Parameters
    ----------
    request_id : str
        ID of the caller's request that brought the first event.
    data_centres_by_host : dict of str to str
        Data centres of all hosts.

    Returns
    -------
    list of str
        Names of hosts, in different data centres as far as possible.

    Examples
    --------
    >>> hosts = {f"h{n}": f"dc{n % 3}" for n in range(9)}
    >>> keepers = choose_origin_keepers("r", hosts)
    >>> {hosts[keeper] for keeper in keepers} == {"dc0", "dc1", "dc2"}
    True
    >>> keepers == choose_origin_sources("r", hosts)[:3]
    True
    """
    return _rank(request_id, data_centres_by_host)[:KEEPERS]


def choose_origin_sources(request_id, data_centres_by_host):
    """Choose the hosts to ask for the record of a stream; see the keepers."""
    return _rank(request_id, data_centres_by_host)[:SOURCES]


def choose_keeping_hosts(data_centres_by_host):
    """Choose the hosts that may keep records, at most `MAX_KEEPING_HOSTS`.

    Parameters
    ----------
    data_centres_by_host : dict of str to str
        Data centres of all hosts.

    Returns
    -------
    list of str
        Names of hosts, spread over the data centres.

    Examples
    --------
    >>> len(choose_keeping_hosts({f"h{n}": f"dc{n % 3}" for n in range(195)}))
    24
    """
    if len(data_centres_by_host) <= MAX_KEEPING_HOSTS:
        return list(data_centres_by_host)
    ranked = _placement.rank_spread(KEEPING_RANKING_KEY, data_centres_by_host)
    return ranked[:MAX_KEEPING_HOSTS]


def _rank(request_id, data_centres_by_host):
    if len(data_centres_by_host) > MAX_KEEPING_HOSTS:
        data_centres_by_host = {
            host: data_centres_by_host[host]
            for host in choose_keeping_hosts(data_centres_by_host)
        }
    return _placement.rank_spread(request_id, data_centres_by_host)
