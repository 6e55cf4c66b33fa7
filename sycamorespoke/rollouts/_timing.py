"""Limits on a version on trial, and how often hosts report on it."""

import attrs

# Reports are sent at this interval, or a longer one where many hosts report.
REPORT_INTERVAL_S = 0.25
MAX_REPORTS_PER_S = 180.0
# Without a reply of the holder for this long, or for so many intervals, a host sends
# the version on trial no requests.
JUDGED_S = 1.5
JUDGED_INTERVALS = 4
# Part of the time for a roll-back that this may take.
MAX_PATIENCE_RATIO = 0.5


def compute_report_interval_s(hosts):
    """Compute the interval of the reports of one host, seconds.

    Examples
    --------
    >>> compute_report_interval_s(9)
    0.25
    >>> compute_report_interval_s(90)
    0.5
    """
    return max(REPORT_INTERVAL_S, hosts / MAX_REPORTS_PER_S)


@attrs.frozen
class Limits:
    """Limits on the use of a version on trial, over all hosts.

    Parameters
    ----------
    share : float
        Share of the requests of its service that it may get, 0 to 1.
    slack : float
        Requests that it may get in addition.
    rollback_s : float, default=5.0
        Time after it has shown to be bad from which it may get none, seconds.
    """

    share: float
    slack: float
    rollback_s: float = 5.0

    def compute_patience_s(self, hosts):
        """Compute how long a host goes on without a reply of the holder, seconds.

        Examples
        --------
        >>> Limits(0.1, 50.0).compute_patience_s(9)
        1.5
        >>> Limits(0.1, 50.0).compute_patience_s(90)
        2.0
        """
        interval_s = compute_report_interval_s(hosts)
        wanted_s = max(JUDGED_S, JUDGED_INTERVALS * interval_s)
        return min(wanted_s, MAX_PATIENCE_RATIO * self.rollback_s)
