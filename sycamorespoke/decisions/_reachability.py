"""Whether a host has lost its links to the upstreams of a service.

An upstream that cannot be reached may have ended. If several upstreams fail and none
succeeds in between, the common cause is more likely on the side of the host.
"""

import attrs

# So many different upstreams must fail with no success in between.
MIN_FAILED_UPSTREAMS = 2
# A failure counts, and the links count as lost without new failures, for this long.
EVIDENCE_LIFETIME_S = 5.0
FIRST_TRIAL_S = 0.5
MAX_TRIAL_S = 1.0


@attrs.frozen
class LinkState:
    """What the requests of a host have shown of its links to one service.

    Parameters
    ----------
    failed_s_by_boot : dict of str to float
        When each upstream failed, by boot ID, since the last success, seconds.
    lost_since_s : float or None, default=None
        When the links were found to be lost, seconds; ``None`` if they are not.
    last_failure_s : float, default=-inf
        When the last failure was recorded, seconds.
    next_trial_s : float, default=-inf
        When a request may try again whether the links work, seconds.
    trial_interval_s : float, default=FIRST_TRIAL_S
        Time from that trial to the next one, seconds.
    """

    failed_s_by_boot: dict[str, float] = attrs.field(factory=dict)
    lost_since_s: float | None = None
    last_failure_s: float = float("-inf")
    next_trial_s: float = float("-inf")
    trial_interval_s: float = FIRST_TRIAL_S

    def is_lost(self, now):
        """Return whether the links count as lost at ``now``, seconds."""
        is_recent = now - self.last_failure_s < EVIDENCE_LIFETIME_S
        return self.lost_since_s is not None and is_recent

    def is_suspect(self, now):
        """Return whether an upstream has failed since the last success."""
        return now - self.last_failure_s < EVIDENCE_LIFETIME_S

    def list_failed(self, now):
        """Return the boot IDs of the upstreams that have failed lately."""
        return {
            boot_id
            for boot_id, failed_s in self.failed_s_by_boot.items()
            if now - failed_s < EVIDENCE_LIFETIME_S
        }

    def may_try(self, now):
        """Return whether a request may try whether the links work again."""
        return now >= self.next_trial_s


def record_link_failure(state, boot_id, now, wanted=MIN_FAILED_UPSTREAMS):
    """Return the state with a failure of one upstream added.

    Parameters
    ----------
    state : LinkState
        What is known so far.
    boot_id : str
        Boot ID of the upstream that could not be reached, or did not answer.
    now : float
        Current time, seconds.
    wanted : int, default=MIN_FAILED_UPSTREAMS
        Different upstreams that must have failed for the links to count as lost.

    Returns
    -------
    LinkState
        The links are lost if enough different upstreams have failed.

    Examples
    --------
    >>> state = record_link_failure(LinkState(), "i-1", 0.0)
    >>> state.is_lost(0.1)
    False
    >>> record_link_failure(state, "i-1", 0.1).is_lost(0.2)
    False
    >>> record_link_failure(state, "i-2", 0.1).is_lost(0.2)
    True
    """
    failed_s_by_boot = {
        other: failed_s
        for other, failed_s in state.failed_s_by_boot.items()
        if now - failed_s < EVIDENCE_LIFETIME_S
    }
    failed_s_by_boot[boot_id] = now
    if state.is_lost(now):
        return attrs.evolve(
            state, failed_s_by_boot=failed_s_by_boot, last_failure_s=now
        )
    if len(failed_s_by_boot) < wanted:
        return LinkState(failed_s_by_boot, last_failure_s=now)
    return LinkState(
        failed_s_by_boot,
        lost_since_s=now,
        last_failure_s=now,
        next_trial_s=now + FIRST_TRIAL_S,
    )


def begin_link_trial(state, now):
    """Return the state once a request has begun to try the links at ``now``.

    Examples
    --------
    >>> state = LinkState(lost_since_s=0.0, last_failure_s=0.0, next_trial_s=0.5)
    >>> state = begin_link_trial(state, 0.5)
    >>> state.may_try(0.9), state.may_try(1.0)
    (False, True)
    """
    return attrs.evolve(
        state,
        next_trial_s=now + state.trial_interval_s,
        trial_interval_s=min(state.trial_interval_s * 2, MAX_TRIAL_S),
    )
