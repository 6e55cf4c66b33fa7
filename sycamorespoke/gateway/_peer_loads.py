"""Estimates the work that other hosts have in progress at each upstream."""

import threading

import attrs

from sycamorespoke import decisions

# A report expires after this time; most requests take less.
REPORT_LIFETIME_S = 1.0


@attrs.frozen
class WorkReport:
    """Work, or another amount, that hosts have in progress at upstreams.

    Parameters
    ----------
    work_by_boot : dict of str to float
        Amount by boot ID of the upstream. Upstreams without any are left out.
    seen_s : float
        When the report was received, seconds of the boot clock.
    hosts : int, default=1
        Number of hosts included.
    """

    work_by_boot: dict[str, float]
    seen_s: float
    hosts: int = 1


class PeerAmounts:
    """Collects reports of one amount and summaries of them; thread-safe.

    Notes
    -----
    A reader host sums the reports of the hosts that request updates from it, its
    group. It returns the sum as a sample, from which these hosts estimate the work of
    all. Where loads are shared, readers tell each other the sums of their groups, and
    the sample is the whole.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._reports_by_host = {}
        self._groups_by_reader = {}
        self._summary = None

    def record_report(self, host, work_by_boot, now):
        """Record the work of another host at ``now``, seconds of the boot clock."""
        with self._lock:
            self._reports_by_host[host] = WorkReport(work_by_boot, now)

    def record_group(self, reader, work_by_boot, hosts, now):
        """Record the sum of another reader's group.

        Parameters
        ----------
        reader : str
            Name of the reader.
        work_by_boot : dict of str to float
            Work of its group by boot ID of the upstream.
        hosts : int
            Number of hosts in the group.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            self._groups_by_reader[reader] = WorkReport(work_by_boot, now, hosts)

    def sum_group(self, own_by_boot, now):
        """Sum the recent reports and this host's own work.

        Returns
        -------
        WorkReport
            Total work of the reporting hosts and this one.
        """
        with self._lock:
            _discard_old(self._reports_by_host, now)
            reports = list(self._reports_by_host.values())
        return _add_up(own_by_boot, reports, now)

    def sum_reports(self, own_by_boot, now):
        """Sum the work of this host's group and of the groups of other readers."""
        group = self.sum_group(own_by_boot, now)
        with self._lock:
            _discard_old(self._groups_by_reader, now)
            others = list(self._groups_by_reader.values())
        return attrs.evolve(
            _add_up(group.work_by_boot, others, now),
            hosts=group.hosts + sum(each.hosts for each in others),
        )

    def record_summary(self, report, own_by_boot):
        """Record the sum that a reader host returned.

        Parameters
        ----------
        report : WorkReport
            The sum, which includes this host's own work.
        own_by_boot : dict of str to float
            Own work as this host reported it to the reader.
        """
        others_by_boot = {
            boot_id: work - own_by_boot.get(boot_id, 0.0)
            for boot_id, work in report.work_by_boot.items()
        }
        self._summary = WorkReport(others_by_boot, report.seen_s, report.hosts - 1)

    def estimate_others(self, hosts, now):
        """Estimate the work of all other hosts at each upstream.

        Parameters
        ----------
        hosts : int
            Entry hosts in all.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        dict of str to float or None
            By boot ID of the upstream; ``None`` without a recent report.
        """
        sample = self._summary
        if sample is None or now - sample.seen_s > REPORT_LIFETIME_S:
            sample = self.sum_reports({}, now)
            sample = attrs.evolve(sample, hosts=sample.hosts - 1)
        if sample.hosts < 1:
            return None
        return decisions.scale_sample(sample.work_by_boot, sample.hosts, hosts - 1)


class PeerLoads(PeerAmounts):
    """Collects the work of other hosts and the memory that their requests hold.

    Attributes
    ----------
    tokens : PeerAmounts
        Tokens that the requests of other hosts hold in the memory of engines.
    """

    def __init__(self):
        super().__init__()
        self.tokens = PeerAmounts()


def _add_up(own_by_boot, reports, now):
    total_by_boot = dict(own_by_boot)
    for report in reports:
        for boot_id, work in report.work_by_boot.items():
            total_by_boot[boot_id] = total_by_boot.get(boot_id, 0.0) + work
    return WorkReport(total_by_boot, now, len(reports) + 1)


def _discard_old(reports_by_name, now):
    for name, report in list(reports_by_name.items()):
        if now - report.seen_s > REPORT_LIFETIME_S:
            del reports_by_name[name]
