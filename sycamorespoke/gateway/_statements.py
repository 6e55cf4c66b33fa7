"""Records what upstreams state about themselves in their responses."""


def record_rate_limit(table, log, upstream, head):
    """Record the rate limit that a response states, or that it states none.

    Parameters
    ----------
    table : UpstreamTable
        Observed state of the upstreams.
    log : AttemptLog
        Logs a limit that differs from the one before.
    upstream : Upstream
        Upstream that responded.
    head : ResponseHead
        Head of the response.
    """
    if table.record_rate_limit(upstream, head.rate_limit_per_s):
        log.record_rate_limit(upstream, head.rate_limit_per_s)


def record_leaving(table, log, upstream, head, now):
    """Record that an upstream is about to stop if a response states it.

    Parameters
    ----------
    table : UpstreamTable
        Observed state of the upstreams.
    log : AttemptLog
        Logs the first such response.
    upstream : Upstream
        Upstream to which the request was sent.
    head : ResponseHead
        Head of a response from its address.
    now : float
        Current time, seconds of the boot clock.
    """
    is_other = head.upstream_id not in ("", upstream.id)
    if head.is_leaving and not is_other and table.record_leaving(upstream, now):
        log.record_leaving(upstream)
