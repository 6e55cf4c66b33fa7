"""Hosts tell each other how old target versions are."""

import math
import threading
import time

import pytest

from sycamorespoke import decisions, messages, serving
from sycamorespoke.gateway import (
    _model,
    _table,
    _target_ages,
    _target_versions,
    _views,
)
from tests.fakes import free_ports

KEY = "the hosts' key"
MODEL = "m"
UNKNOWN = decisions.NamingTime()


def make_views(hosts, version, named, engine_version=1):
    views = _views.Views()
    engine = _model.Upstream(
        "i1", 1, "s", "10.0.0.1:80", "z", versions_by_model={MODEL: engine_version}
    )
    target = _target_versions.TargetVersion(MODEL, version, named.seen_s, named)
    views.replace_fields(
        hosts_by_name={host.name: host for host in hosts},
        upstreams_by_id={engine.id: engine},
        targets_by_model={MODEL: target},
    )
    return views


def make_known(age_s):
    seen_s = serving.read_clock() - age_s
    return decisions.NamingTime(seen_s - 0.5, seen_s)


@pytest.fixture
def start():
    """Start hosts that reply; return the views of one that asks them."""
    servers = []
    stopped = threading.Event()

    def make(*handles, engine_version=1):
        hosts = [_model.Host("h", "dc-1", "127.0.0.1:9")]
        for number, handle in enumerate(handles):
            address = f"127.0.0.1:{free_ports.choose_free_port()}"
            servers.append(messages.Server(address, KEY, handle, 1))
            hosts.append(_model.Host(f"h{number}", "dc-1", address))
        now = serving.read_clock()
        first_list = decisions.NamingTime(seen_s=now)
        views = make_views(hosts, 2, first_list, engine_version)
        ages = _target_ages.TargetAges("h", views, _table.UpstreamTable())
        ages.start(messages.Codec(KEY), stopped)
        return views

    yield make
    stopped.set()
    for server in servers:
        server.stop()


def make_handle(named, version=2, questions=None):
    ages = _target_ages.TargetAges(
        "other", make_views([], version, named), _table.UpstreamTable()
    )

    def handle(message):
        if questions is not None:
            questions.append(message)
        return ages.make_reply(serving.read_clock())

    return handle


def wait_known(views, timeout_s=5.0):
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        named = views.get().targets_by_model[MODEL].named
        if math.isfinite(named.after_s):
            return named
        time.sleep(0.01)
    return None


@pytest.mark.parametrize(("age_s", "is_allowed"), [(1.0, True), (5.9, False)])
def test_host_that_starts_uses_older_weights_while_the_grace_of_others_runs(
    start, age_s, is_allowed
):
    known = make_known(age_s)
    named = wait_known(start(make_handle(UNKNOWN), make_handle(known)))
    assert named.after_s <= known.after_s
    begin_s = known.after_s + age_s + 0.5
    is_used = decisions.may_begin_on_older_weights(named, begin_s, 6.0)
    assert is_used is is_allowed


def test_host_of_an_older_build_that_does_not_know_the_question_is_passed_over(start):
    views = start(lambda message: None, make_handle(make_known(1.0)))
    assert wait_known(views) is not None


def test_age_of_another_version_is_not_taken_for_that_of_the_target(start):
    questions = []
    views = start(make_handle(make_known(1.0), version=1, questions=questions))
    deadline_s = time.monotonic() + 5.0
    while not questions and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert questions
    assert wait_known(views, timeout_s=0.2) is None


def test_nobody_is_asked_while_the_engines_have_the_target():
    views = make_views(
        [_model.Host("h0", "dc-1", "127.0.0.1:9")], 2, UNKNOWN, engine_version=2
    )
    ages = _target_ages.TargetAges("h", views, _table.UpstreamTable())
    # Without a codec a question would fail.
    ages.step(serving.read_clock())
    assert views.get().targets_by_model[MODEL].named == UNKNOWN
