"""Plot of a report; needs the optional extra ``plot``."""

MILLISECONDS = 1000


def plot_report(report, file):
    """Plot time to first token, refusals and losses over time, with events marked.

    Parameters
    ----------
    report : Report
        The report.
    file : str
        Image file to write; its suffix determines the format.

    Raises
    ------
    ImportError
        If matplotlib is not installed.
    """
    # Imported here because matplotlib is an optional dependency.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, sharex=True, figsize=(10, 6))
    answered = [
        entry
        for entry in report.timeline
        if entry["ending"] == "answered" and entry["request"] == "prompt"
    ]
    times = [entry["at_s"] for entry in answered]
    values = [entry["first_token_ms"] / MILLISECONDS for entry in answered]
    top.plot(times, values, ".", markersize=3)
    top.set_ylabel("time to first token, s")
    figure.suptitle(f"{report.workload}, seed {report.seed}")
    for ending, colour in (("refused", "tab:orange"), ("lost", "tab:red")):
        by_second = _count_by_second(report.timeline, ending)
        seconds = list(by_second)
        counts = list(by_second.values())
        bottom.bar(seconds, counts, color=colour, label=ending)
    bottom.set_ylim(bottom=0)
    bottom.set_ylabel("requests per second")
    bottom.set_xlabel("time, s")
    bottom.legend()
    for axes in (top, bottom):
        for event in report.events:
            axes.axvline(event["at_s"], color="grey", linestyle="--")
    for event in report.events:
        top.annotate(event["name"], (event["at_s"], top.get_ylim()[1]), rotation=30)
    figure.savefig(file)
    pyplot.close(figure)


def _count_by_second(timeline, ending):
    # Seconds without refusals or losses are included, so that they show as zero.
    by_second = dict.fromkeys((int(entry["at_s"]) for entry in timeline), 0)
    for entry in timeline:
        by_second[int(entry["at_s"])] += entry["ending"] == ending
    return by_second
