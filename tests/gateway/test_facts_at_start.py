"""What a host that has only just started, or regained its source, takes for granted."""

from sycamorespoke import decisions, objects, retries
from tests.gateway import test_stored_origins


def test_hosts_that_start_again_do_not_double_the_retries_of_a_window():
    slack, hosts, count = 54.0, 7, 0
    # Each host is replaced once within the window; no request is counted.
    for _ in range(2 * hosts):
        budgets = retries.RetryBudgets(0.2, slack)
        while budgets.withdraw("s", hosts, now=10.0):
            count += 1
    assert count <= slack


def test_records_of_streams_outlast_the_last_listing_of_their_version():
    objects = test_stored_origins.Objects()
    host = test_stored_origins.Host(objects)
    (request_id,) = host.list_first(1)
    host.begin(request_id, lifetime_s=30.0)
    test_stored_origins.step(host, 1.0, 1.2)
    # The upstreams of v1 have left the list; its streams go on.
    started = test_stored_origins.Host(objects, versions=("v2",))
    test_stored_origins.step(started, 2.0, 2.2)
    reader = test_stored_origins.Host(objects, "h2", versions=("v2",))
    assert reader.stored.find(request_id, 3.0) is not None


class ScriptedSource:
    def __init__(self, *responses):
        self.responses = list(responses)

    def list(self, kind):
        return self.responses.pop(0)

    def watch(self, kind, revision, wait_s):
        return self.responses.pop(0)


def test_short_outage_at_one_host_does_not_keep_an_upstream_that_was_removed():
    # Entries are removed after 3.6 s of silence, so no outage of 0.3 s removes one.
    now = 100.0
    source = ScriptedSource(
        objects.Listing(({"Metadata": {"Name": "i1", "Revision": 1}},), 1),
        objects.Unavailable("the watch was cut off"),
        objects.Listing((), 2),
    )
    subscription = objects.Subscription(
        "upstreams", "servers", lambda value, now: value, lambda *_: None, bool
    )
    follower = objects.Follower(
        source,
        subscription,
        lambda: now,
        lambda *_: None,
        lambda: decisions.WatchTiming(1.0, 0.0),
    )
    for _ in range(3):
        follower.step()
        now += 0.15
    assert follower.items_by_name == {}
