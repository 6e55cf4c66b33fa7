"""Steps that the scenarios share."""

import collections
import contextlib
import json
import signal
import time

import pytest_bdd
import urllib3

from scenarios import callers as callers_module, deployment
from sycamorespoke import clients, standins

ENGINE = standins.EngineOptions(warm_up_s=0.0, token_s=0.01)
COLD_ENGINE = standins.EngineOptions(
    cold_limit=2, warm_up_s=3.0, token_s=0.01, report_lag_s=0.3
)
OWNED_WITHIN_S = 15.0
# Long enough for the owners of permits to grant and the engines to warm up.
BETWEEN_FAILURES_S = 8.0
DATA_CENTRES = ("seeb", "ruwi", "qurum")


def split_names(text):
    return [name.strip() for name in text.split(",")]


def place(names):
    """Spread hosts over the data centres in turn."""
    return {
        name: DATA_CENTRES[number % len(DATA_CENTRES)]
        for number, name in enumerate(names)
    }


def place_services():
    names = ["bibdesk-1", "bibdesk-2"]
    return {
        name: (centre, standins.ServiceOptions())
        for name, centre in place(names).items()
    }


def count_runs_by_key(cluster):
    runs_by_key = collections.Counter()
    for name in place_services():
        runs_by_key.update(cluster.counts(name)["runs_by_key"])
    return runs_by_key


@pytest_bdd.given(
    pytest_bdd.parsers.parse('engines "{engines}" and entry hosts "{entries}"'),
    target_fixture="cluster",
)
def start_engines(make_deployment, engines, entries):
    result = make_deployment(
        {name: (place, ENGINE) for name, place in place(split_names(engines)).items()},
        place_services(),
        place(split_names(entries)),
    )
    result.start()
    return result


@pytest_bdd.given(
    pytest_bdd.parsers.parse('cold engines "{engines}" and entry hosts "{entries}"'),
    target_fixture="cluster",
)
def start_cold_engines(make_deployment, engines, entries):
    names = split_names(engines)
    result = make_deployment(
        dict.fromkeys(names, ("seeb", COLD_ENGINE)),
        place_services(),
        dict.fromkeys(split_names(entries), "seeb"),
    )
    result.start(deployment.make_rules(cold_limit=2, warm_up="3s"))
    return result


@pytest_bdd.given(
    pytest_bdd.parsers.parse('a whole deployment with entry hosts "{entries}"'),
    target_fixture="cluster",
)
def start_whole(make_deployment, entries):
    names = ["scribe-1", "scribe-2", "scribe-3"]
    result = make_deployment(
        {name: (centre, COLD_ENGINE) for name, centre in place(names).items()},
        place_services(),
        place(split_names(entries)),
        {"ledger-cache": ("ruwi", standins.StoreOptions())},
    )
    result.start(deployment.make_rules(cold_limit=2, warm_up="3s"))
    return result


@pytest_bdd.given(pytest_bdd.parsers.parse('"{name}" is owned'))
def wait_owned(cluster, name):
    deployment.wait_until(
        lambda: find_owner(cluster, name), OWNED_WITHIN_S, f"{name} is owned"
    )


def find_owner(cluster, name):
    data_centre = cluster.upstreams_by_name[name].data_centre
    stored = cluster.platform_client.get(f"leases/permits-{data_centre}")
    if not isinstance(stored, clients.StoredObject):
        return ""
    return stored.value["holder"].partition(":")[0]


@pytest_bdd.given(
    pytest_bdd.parsers.re(r'"(?P<name>[\w-]+)" has the faults "(?P<faults>.*)"')
)
def set_faults(cluster, name, faults):
    cluster.set_faults(name, **json.loads(faults))


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{count:d} different completions of {tokens:d} tokens are asked for at once"
    ),
    target_fixture="callers",
)
def ask_completions(cluster, count, tokens):
    result = callers_module.Callers(cluster)
    result.complete(count, tokens)
    return result


@pytest_bdd.when(pytest_bdd.parsers.parse('"{name}" restarts after {delay_s:g} s'))
def restart_upstream(cluster, name, delay_s):
    time.sleep(delay_s)
    cluster.set_faults(name, turn_cold=True)


@pytest_bdd.when(
    pytest_bdd.parsers.parse('"{name}" freezes for {freeze_s:g} s after {delay_s:g} s')
)
def freeze_upstream(cluster, name, freeze_s, delay_s):
    time.sleep(delay_s)
    cluster.set_faults(name, freeze_s=freeze_s)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("a caller goes away after {seen:d} tokens of {tokens:d}")
)
def leave_early(cluster, seen, tokens):
    entry = next(iter(cluster.entries_by_name.values()))
    key = deployment.API_KEYS_BY_ACCOUNT["clubs"]
    response = urllib3.request(
        "POST",
        entry.url + "/v1/completions",
        json={"model": "scribe", "prompt": "x", "max_tokens": tokens, "stream": True},
        headers={"Authorization": f"Bearer {key}"},
        preload_content=False,
    )
    events = response.stream(64)
    for _ in range(seen):
        next(events)
    response.close()


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "callers stream {tokens:d} tokens and book for {seconds:g} s through the "
        "balancer"
    ),
    target_fixture="callers",
)
def keep_sending(cluster, tokens, seconds):
    result = callers_module.Callers(cluster)
    result.send_for(seconds, tokens)
    return result


@pytest_bdd.when(pytest_bdd.parsers.parse('"{name}" gets SIGTERM after {delay_s:g} s'))
def stop_entry(cluster, name, delay_s):
    time.sleep(delay_s)
    cluster.entries_by_name[name].send_signal(signal.SIGTERM)


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{name}" says that it is draining before it refuses connections'
    )
)
def check_draining(cluster, name):
    response = cluster.entries_by_name[name].get("/readyz")
    assert response.json()["error"]["code"] == "draining"


@pytest_bdd.then(
    pytest_bdd.parsers.parse('"{name}" ends with status 0 within {bound_s:g} s')
)
def check_ended(cluster, name, bound_s):
    assert cluster.entries_by_name[name].process.wait(bound_s) == 0


@pytest_bdd.then("every stream is whole and every booking landed once")
def check_streams_and_bookings(cluster, callers):
    answers = callers.wait()
    assert answers
    assert all(answer.is_whole() for answer in answers), [a.error for a in answers]
    statuses_by_key = callers.booking_statuses_by_key
    assert not callers.booking_errors
    assert set(statuses_by_key.values()) == {201}
    assert count_runs_by_key(cluster) == dict.fromkeys(statuses_by_key, 1)


@pytest_bdd.then("every answer is whole and its caller's own")
def check_whole(callers):
    for answer in callers.wait():
        assert answer.error is None, answer.error
        assert answer.claims_whole
        assert answer.text == answer.expected_text()


@pytest_bdd.when(
    pytest_bdd.parsers.parse('the owner of the permits of "{name}" is killed')
)
def kill_owner(cluster, name):
    cluster.entries_by_name[find_owner(cluster, name)].kill()


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the owner of the permits of "{name}" freezes for {seconds:g} s'
    )
)
def freeze_owner(cluster, name, seconds):
    entry = cluster.entries_by_name[find_owner(cluster, name)]
    entry.freeze()
    time.sleep(seconds)
    entry.thaw()


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the platform is down for {seconds:g} s, "{entry}" is killed and "{engine}" '
        "restarts"
    )
)
def fail_together(cluster, callers, seconds, entry, engine):
    callers.loses_connections = True
    time.sleep(BETWEEN_FAILURES_S)
    cluster.set_faults("platform", down=True)
    time.sleep(seconds / 2)
    cluster.entries_by_name[entry].kill()
    cluster.set_faults(engine, turn_cold=True)
    time.sleep(seconds / 2)
    cluster.set_faults("platform")
    cluster.publish_hosts()


@pytest_bdd.when(
    pytest_bdd.parsers.parse('"{name}" is killed and started anew {count:d} times')
)
def kill_again_and_again(cluster, callers, name, count):
    callers.loses_connections = True
    for _ in range(count):
        time.sleep(0.7)
        cluster.entries_by_name[name].kill()
        cluster.start_entry(name)
        entry = cluster.entries_by_name[name]
        deployment.wait_until(entry.is_ready, deployment.START_TIMEOUT_S, name)


@pytest_bdd.when(pytest_bdd.parsers.parse('the data centre "{name}" is taken out'))
def take_out(cluster, name):
    time.sleep(1)
    cluster.publish_service_state(data_centres_out=[name])


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        '"{entry}" is frozen, "{data_centre}" is taken out and "{entry}" thaws after '
        "{seconds:g} s"
    )
)
def take_out_frozen(cluster, entry, data_centre, seconds):
    cluster.entries_by_name[entry].freeze()
    cluster.publish_service_state(data_centres_out=[data_centre])
    time.sleep(seconds)
    cluster.entries_by_name[entry].thaw()


@pytest_bdd.then(
    pytest_bdd.parsers.parse('completions at "{entry}" never reach "{engine}"')
)
def check_never_reached(cluster, entry, engine):
    before = cluster.counts(engine)["runs"]
    statuses = []
    for number in range(30):
        response = cluster.complete(entry, f"Thread {number}.", max_tokens=2)
        statuses.append(response.status)
        assert response.status == 200 or response.headers["X-Execution"] == "not_run"
    assert 200 in statuses
    assert cluster.counts(engine)["runs"] == before


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{name}" tells the balancer within {bound_s:g} s that it takes no callers'
    )
)
def check_takes_no_callers(cluster, name, bound_s):
    entry = cluster.entries_by_name[name]
    deployment.wait_until(
        lambda: not entry.is_ready(), bound_s, f"{name} takes no callers"
    )


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{engine}" starts nothing from {bound_s:g} s on for {seconds:g} s'
    )
)
def check_starts_nothing(cluster, engine, bound_s, seconds):
    time.sleep(bound_s)
    before = cluster.counts(engine)["runs"]
    assert before
    time.sleep(seconds)
    assert cluster.counts(engine)["runs"] == before


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{engine}" starts something within {bound_s:g} s after "{name}" is brought '
        "back"
    )
)
def check_brought_back(cluster, engine, bound_s, name):
    before = cluster.counts(engine)["runs"]
    cluster.publish_service_state()
    deployment.wait_until(
        lambda: cluster.counts(engine)["runs"] > before, bound_s, f"{engine} is used"
    )


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        'every stream that arrived is whole or refused as "{execution}"'
    )
)
def check_arrived(callers, execution):
    answers = callers.wait()
    assert sum(answer.is_whole() for answer in answers) >= len(answers) / 2
    check_refusals(callers, execution)


@pytest_bdd.then("no booking ran twice and every confirmed one ran")
def check_bookings(cluster, callers):
    callers.wait()
    runs_by_key = count_runs_by_key(cluster)
    assert max(runs_by_key.values()) == 1
    for key, status in callers.booking_statuses_by_key.items():
        if status == 201:
            assert runs_by_key.get(key) == 1, key
        elif status in (429, 503):
            assert key not in runs_by_key, key


@pytest_bdd.then(pytest_bdd.parsers.parse("at least {count:d} bookings are confirmed"))
def check_confirmed(callers, count):
    statuses = list(callers.booking_statuses_by_key.values())
    assert statuses.count(201) >= count


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{entry}" serves a completion and a booking within {bound_s:g} s'
    )
)
def check_serves(cluster, entry, bound_s):
    def is_served():
        completion = cluster.complete(entry, "Once more.", max_tokens=3)
        booking = cluster.book(entry, 1, "the last booking")
        return (completion.status, booking.status) == (200, 201)

    deployment.wait_until(is_served, bound_s, f"{entry} serves")


@pytest_bdd.when("the platform goes down")
def stop_platform(cluster):
    cluster.set_faults("platform", down=True)


@pytest_bdd.then("no engine got more than it bears")
def check_engines(cluster, callers):
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        # A caller of a killed or frozen entry host gets no answer.
        callers.wait()
    for name in cluster.upstreams_by_name:
        if name.startswith("scribe"):
            counts = cluster.counts(name)
            assert counts["most_concurrent_cold"] <= COLD_ENGINE.cold_limit, counts
            assert counts["falls"] == 0, counts


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        'at least {count:d} completions are whole and each refusal says "{execution}"'
    )
)
def check_some_whole(callers, count, execution):
    answers = callers.wait()
    assert sum(answer.is_whole() for answer in answers) >= count
    check_refusals(callers, execution)


@pytest_bdd.then(pytest_bdd.parsers.parse('each refusal says "{execution}"'))
def check_refusals(callers, execution):
    for answer in callers.wait():
        if not answer.is_whole():
            assert answer.status != 200
            assert answer.error["execution"] == execution


@pytest_bdd.then("no answer claims to be whole")
def check_not_whole(callers):
    for answer in callers.wait():
        assert not answer.claims_whole
        assert answer.expected_text().startswith(answer.text)


@pytest_bdd.then(
    pytest_bdd.parsers.parse('each failure says that the outcome is "{execution}"')
)
def check_failures(callers, execution):
    assert {answer.error["execution"] for answer in callers.wait()} == {execution}


@pytest_bdd.then(pytest_bdd.parsers.parse('"{name}" runs nothing within {bound_s:g} s'))
def check_idle_upstream(cluster, name, bound_s):
    def is_idle():
        url = f"{cluster.handles_by_name[name].url}/v1/load"
        return urllib3.request("GET", url).json()["running"] == 0

    deployment.wait_until(is_idle, bound_s, f"{name} is idle")


@pytest_bdd.then(
    pytest_bdd.parsers.parse('"{name}" counts no running call within {bound_s:g} s')
)
def check_idle_entry(cluster, name, bound_s):
    def is_idle():
        dump = cluster.entries_by_name[name].get("/dump", operators=True)
        return dump.json()["calls_running"] == 0

    deployment.wait_until(is_idle, bound_s, f"{name} is idle")
