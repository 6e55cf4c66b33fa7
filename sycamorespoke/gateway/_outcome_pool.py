"""Outcomes of requests that hosts report to each other, and what follows from them."""

import threading

import attrs
import loguru

from sycamorespoke import decisions, messages

# An upstream of which nothing was reported for this long is forgotten.
FORGET_S = 15.0
# Reports that wait to be forwarded to other readers; the oldest are dropped.
MAX_FORWARDED = 500


@attrs.define
class _Histories:
    """What was reported of one upstream.

    Parameters
    ----------
    here : decisions.PooledHistory
        By the hosts of this data centre. What they cannot reach may be in reach of
        others, so it is ejected for them alone.
    everywhere : decisions.PooledHistory
        By the data centres; ejected for all if several report failures.
    reported_s : float
        When something was last reported, seconds of the boot clock.
    """

    here: decisions.PooledHistory = attrs.field(factory=decisions.PooledHistory)
    everywhere: decisions.PooledHistory = attrs.field(factory=decisions.PooledHistory)
    reported_s: float = float("-inf")

    def get_ejected_until_s(self, is_here, now):
        """Return the end of the ejection, seconds; ``-inf`` if there is none.

        Parameters
        ----------
        is_here : bool
            Whether it is asked for the hosts of this data centre.
        now : float
            Current time, seconds.
        """
        until_s = self.everywhere.get_ejected_until_s(now)
        return max(until_s, self.here.get_ejected_until_s(now)) if is_here else until_s


class OutcomePool:
    """Collects the outcomes at upstreams by boot ID; thread-safe.

    A host reports its outcomes with its requests for updates to a reader host. The
    readers forward the reports that matter to each other, pool them, and reply which
    upstreams are ejected.

    Parameters
    ----------
    host, data_centre : str
        Name and data centre of this host.
    """

    def __init__(self, host, data_centre=""):
        self.host = host
        self.data_centre = data_centre
        self._lock = threading.Lock()
        self._own_by_boot = {}
        self._histories_by_boot = {}
        self._forwarded = []
        self._logged_boots = set()

    def record(self, boot_id, weight):
        """Record an outcome of this host, see `decisions.Outcomes.add`."""
        with self._lock:
            outcomes = self._own_by_boot.get(boot_id, decisions.Outcomes())
            self._own_by_boot[boot_id] = outcomes.add(weight)

    def retain(self, boot_ids):
        """Drop this host's outcomes at upstreams that are not registered any more.

        In small deployments, nobody collects them.

        Parameters
        ----------
        boot_ids : set of str
            Boot IDs of the registered upstreams.
        """
        with self._lock:
            for boot_id in self._own_by_boot.keys() - boot_ids:
                del self._own_by_boot[boot_id]

    def drain(self, has_lost_links):
        """Return this host's outcomes since the last call, as messages hold them.

        Parameters
        ----------
        has_lost_links : bool
            Whether this host has lost its links to a service; its failures then say
            nothing of the upstreams, and it reports none.

        Returns
        -------
        dict of str to (int, int, float)
            By boot ID, see `messages.UpdatesRequest`.
        """
        with self._lock:
            own_by_boot, self._own_by_boot = self._own_by_boot, {}
        if has_lost_links:
            return {}
        return {boot_id: attrs.astuple(each) for boot_id, each in own_by_boot.items()}

    def handle_request(self, request, has_lost_links, now):
        """Pool what a host reports, and what this host has seen itself.

        Parameters
        ----------
        request : messages.UpdatesRequest
            Request with the report.
        has_lost_links : bool
            Whether this host has lost its links to a service.
        now : float
            Current time, seconds of the boot clock.
        """
        own = (self.data_centre, self.host, self.drain(has_lost_links))
        reported = (request.data_centre, request.host, request.outcomes_by_upstream)
        with self._lock:
            for report in (reported, own):
                self._forward(report)
                self._pool(report, now)
            for report in request.forwarded_outcomes:
                self._pool(report, now)
            self._forget_old(now)

    def list_ejected(self, data_centre, now):
        """Return the upstreams that are ejected for the hosts of a data centre.

        Parameters
        ----------
        data_centre : str
            The data centre.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        dict of str to float
            For how long, seconds, by boot ID.
        """
        is_here = data_centre == self.data_centre
        with self._lock:
            if not self._histories_by_boot:
                self._logged_boots = set()
                return {}
            until_s_by_boot = {
                boot_id: histories.get_ejected_until_s(is_here, now)
                for boot_id, histories in self._histories_by_boot.items()
            }
            ejected = {
                boot_id: until_s - now
                for boot_id, until_s in until_s_by_boot.items()
                if until_s > now
            }
            if is_here:
                self._log_new(ejected)
            return ejected

    def make_forwarding(self):
        """Return the request that tells another reader what was reported here.

        Returns
        -------
        messages.UpdatesRequest or None
            ``None`` if nothing was.
        """
        with self._lock:
            forwarded, self._forwarded = self._forwarded, []
        if not forwarded:
            return None
        return messages.UpdatesRequest(forwarded_outcomes=forwarded)

    def _forward(self, report):
        """Keep what other readers need: outcomes at upstreams that fail."""
        data_centre, host, outcomes_by_boot = report
        needed = {
            boot_id: values
            for boot_id, values in outcomes_by_boot.items()
            if values[1] or self._is_doubtful(boot_id)
        }
        if needed:
            self._forwarded.append((data_centre, host, needed))
            del self._forwarded[:-MAX_FORWARDED]

    def _is_doubtful(self, boot_id):
        """Return whether successes at an upstream matter to other readers."""
        histories = self._histories_by_boot.get(boot_id)
        return histories is not None and histories.everywhere.failures.failure_rate > 0

    def _pool(self, report, now):
        data_centre, host, outcomes_by_boot = report
        for boot_id, values in outcomes_by_boot.items():
            outcomes = decisions.Outcomes(*values)
            if boot_id not in self._histories_by_boot:
                if outcomes.failures < 1:
                    continue
                self._histories_by_boot[boot_id] = _Histories()
            histories = self._histories_by_boot[boot_id]
            histories.reported_s = now
            histories.everywhere = decisions.pool_outcomes(
                histories.everywhere, data_centre, outcomes, now
            )
            if data_centre == self.data_centre:
                histories.here = decisions.pool_outcomes(
                    histories.here, host, outcomes, now
                )

    def _forget_old(self, now):
        for boot_id, histories in list(self._histories_by_boot.items()):
            if now - histories.reported_s > FORGET_S:
                del self._histories_by_boot[boot_id]

    def _log_new(self, ejected):
        for boot_id in ejected.keys() - self._logged_boots:
            histories = self._histories_by_boot[boot_id]
            loguru.logger.bind(
                upstream=boot_id,
                seconds=round(ejected[boot_id], 3),
                hosts=sorted(histories.here.failed_s_by_witness),
                data_centres=sorted(histories.everywhere.failed_s_by_witness),
            ).info("upstream ejected for several hosts")
        self._logged_boots = set(ejected)
