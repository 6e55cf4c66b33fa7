"""What upstreams state about themselves in their responses."""

import attrs

from sycamorespoke import decisions


@attrs.frozen
class Statements:
    """What a response states about the upstream that sent it.

    Parameters
    ----------
    upstream_id : str, default=""
        ID of the upstream; empty if not stated.
    is_leaving : bool, default=False
        Whether the upstream is about to stop.
    rate_limit_per_s : float or None, default=None
        Requests per second that it accepts from all hosts together, if it states a
        limit.
    backoff_s : float or None, default=None
        Time for which it wants no requests from this host, seconds, if it is
        overloaded and names a time.
    has_unreadable_backoff : bool, default=False
        Whether it is overloaded and names a time that cannot be read.
    """

    upstream_id: str = ""
    is_leaving: bool = False
    rate_limit_per_s: float | None = None
    backoff_s: float | None = None
    has_unreadable_backoff: bool = False


class StatementRecorder:
    """Records and logs the statements of all responses of upstreams.

    Parameters
    ----------
    table : UpstreamTable
        Observed state of the upstreams.
    views : Views
        Current view, which lists the upstreams.
    """

    def __init__(self, table, views):
        self.table = table
        self.views = views

    def record(self, upstream, statements, now, log, ends_rate_limit=True):
        """Record the statements of one response.

        Parameters
        ----------
        upstream : Upstream
            Upstream to which the request was sent.
        statements : Statements
            Statements of a response from its address.
        now : float
            Current time, seconds of the boot clock.
        log : callable
            Called with the event, the upstream and the fields of each log line.
        ends_rate_limit : bool, default=True
            Whether the response says that there is a rate limit no more if it states
            none. Those to reports and orders do not, nor does an older response.
        """
        if statements.upstream_id not in ("", upstream.id):
            return
        if ends_rate_limit:
            self._record_rate_limit(upstream, statements.rate_limit_per_s, log)
        if statements.is_leaving and self.table.record_leaving(upstream, now):
            is_listed = upstream.boot_id in self.views.get().list_boot_ids()
            log("upstream leaving", upstream, listed=is_listed)
        if statements.backoff_s is not None:
            self._record_backoff(upstream, statements.backoff_s, now, log)
        if statements.has_unreadable_backoff:
            log("upstream backoff unreadable", upstream)

    def _record_rate_limit(self, upstream, limit_per_s, log):
        if self.table.record_rate_limit(upstream, limit_per_s):
            log("upstream rate limit", upstream, limit_per_s=limit_per_s)

    def _record_backoff(self, upstream, asked_s, now, log):
        backoff_s = min(asked_s, decisions.MAX_BACKOFF_S)
        if self.table.record_backoff(upstream, now + backoff_s):
            log("upstream backoff", upstream, asked_s=asked_s, backoff_s=backoff_s)
