"""Upstreams that say in their responses that they are leaving."""

import pytest

from tests.fakes import scripted_upstream

LEAVING = {"Server-Leaving": "1"}


def respond_leaving(request):
    scripted_upstream.respond(request, **LEAVING)


def test_leaving_upstream_is_logged_with_what_the_list_says(harness, log_lines):
    gateway = harness.start_gateway([harness.start_upstream(respond_leaving)])
    gateway.request("/safe/x")
    line = log_lines.wait_for("upstream leaving")
    assert (line["upstream"], line["listed"], line["draining"]) == ("i-1", True, False)
    assert gateway.table.dump(0.0)["i-1@1"]["leaving"]


@pytest.mark.parametrize("text", ["", "0", "yes", "11"])
def test_other_value_does_not_say_that_the_upstream_leaves(harness, text):
    def respond(request):
        scripted_upstream.respond(request, **{"Server-Leaving": text})

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    gateway.request("/safe/x")
    assert not gateway.table.dump(0.0)["i-1@1"]["leaving"]
