"""Fingerprints of requests."""

import attrs
import pytest

from sycamorespoke.gateway import _fingerprint, _model, _requests

REQUEST = _requests.Request("r1", "h", "POST", "/a/b?c", (), b"body", 0.0)
ACCOUNT = _model.Account("a")


def compute(account=ACCOUNT, **changes):
    request = attrs.evolve(REQUEST, **changes)
    return _fingerprint.compute_fingerprint(request, account)


def test_request_that_comes_again_under_another_id_has_the_same_fingerprint():
    later = compute(id="r2", arrived_s=9.0, deadline_s=12.0, last_event_id=3)
    assert later == compute()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"host": "g"},
        {"target": "/a/b?d"},
        {"body": b"bodz"},
        {"account": None},
        {"account": _model.Account("b")},
        {"prompt": _requests.Prompt("m", (_requests.PromptBlock("a", 1),), 1, 1)},
        # The same bytes, divided otherwise.
        {"host": "h/", "target": "a/b?c"},
    ],
)
def test_other_request_has_another_fingerprint(changes):
    assert compute(**changes) != compute()


def test_fingerprint_is_in_the_line_of_a_failed_attempt(harness, log_lines):
    gateway = harness.start_gateway([harness.start_upstream(lambda request: 1 / 0)])
    gateway.request("/once/x")
    assert len(log_lines.wait_for("attempt failed")["fingerprint"]) == 32
