"""Answers whether a request may go to an upstream, from the view and the table."""

from sycamorespoke import decisions


def assess(view, upstream, state, now):
    """Assess whether a request may go to an upstream.

    Parameters
    ----------
    view : View
        Current view of the deployment.
    upstream : Upstream
        The upstream.
    state : UpstreamState
        Observed state of this start of the upstream.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    decisions.Availability
        What stands against it.
    """
    listed = (view.upstreams_by_id or {}).get(upstream.id)
    is_listed = listed is not None and listed.is_same_start(upstream)
    signals = decisions.UpstreamSignals(
        is_listed=is_listed,
        is_leaving=state.is_leaving or (is_listed and listed.is_draining),
        is_data_centre_out=upstream.data_centre in (view.data_centres_out or ()),
        is_loading=view.is_loading(upstream, now),
        backoff_until_s=state.backoff_until_s,
        ejected_until_s=state.ejected_until_s,
        full_until_s=state.full_until_s,
    )
    return decisions.assess_upstream(signals, now)


class UpstreamGate:
    """Assesses upstreams by the current view and state.

    Parameters
    ----------
    views : Views
        Current view of the deployment.
    table : UpstreamTable
        Observed state of the upstreams.
    """

    def __init__(self, views, table):
        self.views = views
        self.table = table

    def find_bar(self, upstream, now, purpose=decisions.Purpose.REQUEST):
        """Return what forbids sending to an upstream.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        now : float
            Current time, seconds of the boot clock.
        purpose : decisions.Purpose, default=decisions.Purpose.REQUEST
            What is to be sent.

        Returns
        -------
        decisions.Obstacle or None
            ``None`` if sending is allowed.
        """
        state = self.table.read([upstream])[upstream.boot_id]
        return assess(self.views.get(), upstream, state, now).find_bar(purpose)
