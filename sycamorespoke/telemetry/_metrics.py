"""Prometheus metrics of a daemon."""

import threading

import aioprometheus

TIME_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.43, 1.0, 2.5, 5.0, 10.0, 30.0]
PREFIX = "sycamorespoke_"
# aioprometheus does not escape label values.
ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


class Metrics:
    """Counters, gauges and histograms by name, safe to use from any thread.

    Parameters
    ----------
    constant_labels : dict of str to str or None, default=None
        Labels added to every sample, for example the host.
    refresh : callable or None, default=None
        Called without arguments before each rendering, to update gauges.
    """

    def __init__(self, constant_labels=None, refresh=None):
        self.constant_labels = constant_labels
        self.refresh = refresh
        self._registry = aioprometheus.Registry()
        # Rendered last: monitoring that reads only the beginning of a long page still
        # gets every counter and gauge.
        self._histograms = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._collectors_by_name = {}

    def count(self, name, amount=1, **labels):
        """Increment a counter.

        Parameters
        ----------
        name : str
            Name without the project's prefix.
        amount : float, default=1
            Increment, 0 or more.
        **labels : str
            Labels of the sample.
        """
        with self._lock:
            self._get_collector(aioprometheus.Counter, name).add(
                _escape(labels), amount
            )

    def gauge(self, name, value, **labels):
        """Set a gauge.

        Parameters
        ----------
        name : str
            Name without the project's prefix.
        value : float
            Current value.
        **labels : str
            Labels of the sample.
        """
        with self._lock:
            self._get_collector(aioprometheus.Gauge, name).set(_escape(labels), value)

    def observe(self, name, seconds, **labels):
        """Record a duration in a histogram.

        Parameters
        ----------
        name : str
            Name without the project's prefix.
        seconds : float
            Duration, in seconds.
        **labels : str
            Labels of the sample.
        """
        with self._lock:
            collector = self._get_collector(aioprometheus.Histogram, name)
            collector.observe(_escape(labels), seconds)

    def render(self):
        """Render all metrics in the Prometheus text format.

        Returns
        -------
        bytes
            Body of the metrics page.
        """
        if self.refresh is not None:
            self.refresh()
        with self._lock:
            pages = [
                aioprometheus.render(registry, ["text/plain"])[0]
                for registry in (self._registry, self._histograms)
            ]
        return b"".join(pages)

    def _get_collector(self, collector_class, name):
        collector = self._collectors_by_name.get(name)
        if collector is None:
            collector = self._make_collector(collector_class, name)
            self._collectors_by_name[name] = collector
        return collector

    def _make_collector(self, collector_class, name):
        options = {
            "const_labels": _escape(self.constant_labels or {}),
            "registry": self._registry,
        }
        if collector_class is aioprometheus.Histogram:
            options["buckets"] = TIME_BUCKETS_S
            options["registry"] = self._histograms
        documentation = name.replace("_", " ")
        return collector_class(PREFIX + name, documentation, **options)


def _escape(labels):
    return {name: text.translate(ESCAPES) for name, text in labels.items()}
