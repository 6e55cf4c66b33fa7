"""Counters and histograms of requests and their attempts."""


class RequestMetrics:
    """Counts requests by outcome and measures the duration of their phases.

    Parameters
    ----------
    metrics : telemetry.Metrics
        Metrics of the process.
    """

    def __init__(self, metrics):
        self.metrics = metrics

    def record_refusal(self, kind, route):
        """Count a request that the gateway refused.

        Parameters
        ----------
        kind : domain.ErrorKind
            Kind of the refusal.
        route : Route or None
            Route of the request, if one was found.
        """
        self._count_request(kind.value, route)

    def record_broken_stream(self, route):
        """Count a stream that ended before it was complete."""
        self._count_request("broken", route)

    def record_answered(self, route, timing, now):
        """Count a request with a complete response and measure its phases.

        Parameters
        ----------
        route : Route
            Route of the request.
        timing : RequestTiming
            Times at which its phases ended.
        now : float
            When the response was complete, seconds of the boot clock.
        """
        self._count_request("answered", route)
        end_s_by_phase = {
            "queue": timing.sent_s,
            "first_event": timing.first_event_s,
            "whole": now,
        }
        for phase, end_s in end_s_by_phase.items():
            if end_s is not None:
                self.metrics.observe(
                    "call_seconds",
                    max(end_s - timing.arrived_s, 0.0),
                    route=route.name,
                    phase=phase,
                )

    def record_attempt(self, outcome, service):
        """Count an attempt or its failure.

        Parameters
        ----------
        outcome : str
            ``"sent"``, ``"failed"``, ``"broke"`` or ``"upstream_error"``.
        service : str
            Name of the upstream's service.
        """
        self.metrics.count("attempts", outcome=outcome, service=service)

    def record_response_end(self, framing, is_whole):
        """Count a response of an upstream that began.

        Parameters
        ----------
        framing : Framing
            How the response shows where its body ends.
        is_whole : bool
            Whether it was read to its end.
        """
        end = "whole" if is_whole else "broken"
        self.metrics.count("responses", framing=framing.value, end=end)

    def _count_request(self, outcome, route):
        self.metrics.count("calls", outcome=outcome, route=route.name if route else "")
