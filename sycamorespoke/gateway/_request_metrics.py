"""Counters and histograms of calls and their attempts."""


class RequestMetrics:
    """Counts calls by outcome and measures their phases.

    Parameters
    ----------
    metrics : telemetry.Metrics
        Metrics of the process.
    """

    def __init__(self, metrics):
        self.metrics = metrics

    def record_refusal(self, kind, route):
        """Count a call without an answer of an upstream.

        Parameters
        ----------
        kind : world.ErrorKind
            Why.
        route : Route or None
            Its route, if one was found.
        """
        self._count_call(kind.value, route)

    def record_broken_stream(self, route):
        """Count a stream that ended early."""
        self._count_call("broken", route)

    def record_answered(self, route, timing, now):
        """Count a whole answer and measure its phases.

        Parameters
        ----------
        route : Route
            Its route.
        timing : RequestTiming
            When its phases ended.
        now : float
            When it was whole, seconds of the boot clock.
        """
        self._count_call("answered", route)
        moments_by_phase = {
            "queue": timing.sent_s,
            "first_event": timing.first_event_s,
            "whole": now,
        }
        for phase, moment_s in moments_by_phase.items():
            if moment_s is not None:
                self.metrics.observe(
                    "call_seconds",
                    max(moment_s - timing.arrived_s, 0.0),
                    route=route.name,
                    phase=phase,
                )

    def record_attempt(self, outcome, service):
        """Count an attempt at an upstream.

        Parameters
        ----------
        outcome : str
            ``"sent"``, ``"failed"``, ``"broke"`` or ``"upstream_error"``.
        service : str
            Service of the upstream.
        """
        self.metrics.count("attempts", outcome=outcome, service=service)

    def _count_call(self, outcome, route):
        self.metrics.count("calls", outcome=outcome, route=route.name if route else "")
