"""Upstreams that come into question for a request, and why others do not."""

import attrs

from sycamorespoke import decisions, domain
from sycamorespoke.gateway import _upstream_gate

# Why an upstream is not chosen, besides the values of `decisions.Obstacle`.
TRIED = "tried"
OTHER_SOFTWARE = "other_software"
RATE_LIMITED = "rate_limited"
# The software version is on trial, was rolled back, or is not known to be in use.
VERSION_BARRED = "version_barred"


def is_candidate(upstream, excluded, origin, reasons):
    """Decide whether an upstream is considered for a request at all.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    excluded : set of str
        Boot IDs of upstreams that are not tried again.
    origin : decisions.StreamOrigin or None
        Upstreams that may continue the stream, if the request continues one.
    reasons : collections.Counter
        Counts why upstreams are not chosen.

    Returns
    -------
    bool
        Whether it is considered.
    """
    if upstream.boot_id in excluded:
        reasons[TRIED] += 1
        return False
    if origin is not None and not origin.allows(
        upstream.service, upstream.software_version
    ):
        reasons[OTHER_SOFTWARE] += 1
        return False
    return True


def assess_all(view, upstreams, states_by_boot, now):
    """Return the `decisions.Availability` of upstreams by boot ID."""
    return {
        each.boot_id: _upstream_gate.assess(
            view, each, states_by_boot[each.boot_id], now
        )
        for each in upstreams
    }


def select_preferred(upstreams, states_by_boot, availability_by_boot, now):
    """Select the upstreams that are not loading, ejected or full, if there are any."""

    def select_without(obstacle, candidates):
        preferred = [
            each
            for each in candidates
            if not availability_by_boot[each.boot_id].has(obstacle)
        ]
        return preferred or candidates

    upstreams = select_without(decisions.Obstacle.LOADING, upstreams)
    histories_by_boot = {
        each.boot_id: _get_failures(states_by_boot[each.boot_id]) for each in upstreams
    }
    not_ejected_ids = set(decisions.select_not_ejected(histories_by_boot, now))
    upstreams = [each for each in upstreams if each.boot_id in not_ejected_ids]
    return select_without(decisions.Obstacle.FULL, upstreams)


def select_heard(contacts, upstreams, now):
    """Select the upstreams that leave no request waiting; there may be none."""
    heard = contacts.select_heard([each.boot_id for each in upstreams], now)
    return [each for each in upstreams if each.boot_id in heard]


def select_recent(contacts, upstreams, now):
    """Select the upstreams that were heard of lately; there may be none."""
    recent = contacts.select_recent([each.boot_id for each in upstreams], now)
    return [each for each in upstreams if each.boot_id in recent]


def _get_failures(state):
    """Return the failures of an upstream, with an ejection by others, if any."""
    failures = state.failures
    if state.ejected_until_s == failures.ejected_until_s:
        return failures
    return attrs.evolve(failures, ejected_until_s=state.ejected_until_s)


def make_refusal(reasons):
    """Return a refusal that says how many upstreams each reason keeps away."""
    counts = ", ".join(f"{reason} {count}" for reason, count in sorted(reasons.items()))
    return domain.Refusal(
        domain.ErrorKind.NO_UPSTREAM,
        f"no upstream is available for the request ({counts or 'none listed'})",
    )
