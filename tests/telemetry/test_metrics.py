"""The metrics page, parsed by prometheus_client rather than by project code."""

from prometheus_client import parser

from sycamorespoke import telemetry


def read(metrics):
    """Return sample values by name and labels, without the label of the host."""
    page = metrics.render().decode()
    samples = {}
    for family in parser.text_string_to_metric_families(page):
        for sample in family.samples:
            labels = frozenset(sample.labels.items() - {("host", "h1")})
            samples[sample.name, labels] = sample.value
    return samples


def make(refresh=None):
    return telemetry.Metrics({"host": "h1"}, refresh)


def test_counter_sums_by_label():
    metrics = make()
    metrics.count("calls", outcome="answered")
    metrics.count("calls", 2, outcome="answered")
    metrics.count("calls", outcome="overloaded")
    samples = read(metrics)
    # The parser appends "_total", as OpenMetrics requires for counters.
    name = "sycamorespoke_calls_total"
    assert samples[name, frozenset({("outcome", "answered")})] == 3
    assert samples[name, frozenset({("outcome", "overloaded")})] == 1


def test_histogram_buckets_are_cumulative():
    metrics = make()
    for seconds in (0.02, 0.2, 20.0):
        metrics.observe("call_seconds", seconds, phase="whole")
    samples = read(metrics)
    buckets = {
        dict(labels)["le"]: value
        for (name, labels), value in samples.items()
        if name == "sycamorespoke_call_seconds_bucket"
    }
    assert buckets["0.025"] == 1
    assert buckets["0.25"] == 2
    assert buckets["+Inf"] == 3
    labels = frozenset({("phase", "whole")})
    assert samples["sycamorespoke_call_seconds_count", labels] == 3


def test_render_calls_refresh_each_time():
    readings = iter((1, 2))
    metrics = make(lambda: metrics.gauge("age", next(readings)))
    name = "sycamorespoke_age"
    assert read(metrics)[name, frozenset()] == 1
    assert read(metrics)[name, frozenset()] == 2


def test_label_values_are_escaped():
    metrics = make()
    metrics.count("calls", route='a "b"\nc\\d')
    labels = frozenset({("route", 'a "b"\nc\\d')})
    assert read(metrics)["sycamorespoke_calls_total", labels] == 1


def test_counters_and_gauges_come_before_histograms():
    metrics = make()
    metrics.observe("call_seconds", 0.1, route="a")
    metrics.count("calls", outcome="broken")
    metrics.gauge("is_ready", 1)
    page = metrics.render().decode()
    histogram = page.index("sycamorespoke_call_seconds")
    assert page.index("sycamorespoke_calls{") < histogram
    assert page.index("sycamorespoke_is_ready{") < histogram
