"""How much work of other hosts is under way at each upstream."""

import threading

import attrs

from sycamorespoke import decisions

# A report counts for this long; requests mostly take less.
REPORT_LIFETIME_S = 1.0


@attrs.frozen
class LoadReport:
    """Work under way at upstreams.

    Parameters
    ----------
    work_by_boot : dict of str to float
        By start of the upstream; absent for none.
    seen_s : float
        When it was learned, seconds of the boot clock.
    hosts : int, default=1
        Hosts whose work it is.
    """

    work_by_boot: dict[str, float]
    seen_s: float
    hosts: int = 1


class PeerLoads:
    """Collects what hosts report and what is told of them; any thread may use it.

    Notes
    -----
    A host that reads for others adds up the hosts that ask it. What it tells them
    is a sample, from which they estimate the work of all hosts.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._reports_by_host = {}
        self._summary = None

    def record_report(self, host, work_by_boot, now):
        """Note the report of another host at ``now``, seconds of the boot clock."""
        with self._lock:
            self._reports_by_host[host] = LoadReport(work_by_boot, now)

    def sum_reports(self, own_by_boot, now):
        """Add up the recent reports and this host's own work.

        Returns
        -------
        LoadReport
            The work of all of them.
        """
        with self._lock:
            self._discard_old_reports(now)
            reports = list(self._reports_by_host.values())
        total_by_boot = dict(own_by_boot)
        for report in reports:
            for boot_id, work in report.work_by_boot.items():
                total_by_boot[boot_id] = total_by_boot.get(boot_id, 0.0) + work
        return LoadReport(total_by_boot, now, len(reports) + 1)

    def record_summary(self, report, own_by_boot):
        """Take what another host added up.

        Parameters
        ----------
        report : LoadReport
            The sum, with this host's own work as it had reported it.
        own_by_boot : dict of str to float
            That report.
        """
        others_by_boot = {
            boot_id: work - own_by_boot.get(boot_id, 0.0)
            for boot_id, work in report.work_by_boot.items()
        }
        self._summary = LoadReport(others_by_boot, report.seen_s, report.hosts - 1)

    def estimate_others(self, hosts, now):
        """Estimate the work of all other hosts at each upstream.

        Parameters
        ----------
        hosts : int
            Entry hosts in all.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        dict of str to float or None
            By start of the upstream; ``None`` if nothing recent is known.
        """
        sample = self._summary
        if sample is None or now - sample.seen_s > REPORT_LIFETIME_S:
            sample = self.sum_reports({}, now)
            sample = attrs.evolve(sample, hosts=sample.hosts - 1)
        if sample.hosts < 1:
            return None
        return decisions.scale_sample(sample.work_by_boot, sample.hosts, hosts - 1)

    def _discard_old_reports(self, now):
        for host, report in list(self._reports_by_host.items()):
            if now - report.seen_s > REPORT_LIFETIME_S:
                del self._reports_by_host[host]
