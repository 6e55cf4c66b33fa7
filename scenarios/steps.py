"""Steps shared by the scenarios that run real entry host processes."""

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
OWNER_TIMEOUT_S = 15.0
# Time in which the permit owners grant permits again and the engines warm up.
BETWEEN_FAILURES_S = 8.0
DATA_CENTRES = ("seeb", "ruwi", "qurum")


def split_names(text):
    return [name.strip() for name in text.split(",")]


def assign_data_centres(names):
    """Assign hosts to the data centres in round-robin order."""
    return {
        name: DATA_CENTRES[number % len(DATA_CENTRES)]
        for number, name in enumerate(names)
    }


def make_services():
    names = ["bibdesk-1", "bibdesk-2"]
    return {
        name: (centre, standins.ServiceOptions())
        for name, centre in assign_data_centres(names).items()
    }


def count_runs_by_key(cluster):
    runs_by_key = collections.Counter()
    for name in make_services():
        runs_by_key.update(cluster.read_counts(name)["runs_by_key"])
    return runs_by_key


@pytest_bdd.given(
    pytest_bdd.parsers.parse('engines "{engines}" and entry hosts "{entries}"'),
    target_fixture="cluster",
)
def start_engines(make_deployment, engines, entries):
    result = make_deployment(
        {
            name: (centre, ENGINE)
            for name, centre in assign_data_centres(split_names(engines)).items()
        },
        make_services(),
        assign_data_centres(split_names(entries)),
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
        make_services(),
        dict.fromkeys(split_names(entries), "seeb"),
    )
    result.start(deployment.make_rules(cold_limit=2, warm_up="3s"))
    return result


@pytest_bdd.given(
    pytest_bdd.parsers.parse('a whole deployment with entry hosts "{entries}"'),
    target_fixture="cluster",
)
def start_full_deployment(make_deployment, entries):
    names = ["scribe-1", "scribe-2", "scribe-3"]
    result = make_deployment(
        {
            name: (centre, COLD_ENGINE)
            for name, centre in assign_data_centres(names).items()
        },
        make_services(),
        assign_data_centres(split_names(entries)),
        {"ledger-cache": ("ruwi", standins.StoreOptions())},
    )
    result.start(deployment.make_rules(cold_limit=2, warm_up="3s"))
    return result


@pytest_bdd.given(pytest_bdd.parsers.parse('"{name}" is owned'))
def wait_until_owned(cluster, name):
    deployment.wait_until(
        lambda: find_permit_owner(cluster, name), OWNER_TIMEOUT_S, f"{name} is owned"
    )


def find_permit_owner(cluster, name):
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
def send_completions(cluster, count, tokens):
    result = callers_module.Callers(cluster)
    result.start_completions(count, tokens)
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
def disconnect_during_stream(cluster, seen, tokens):
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
def start_streams_and_bookings_for(cluster, tokens, seconds):
    result = callers_module.Callers(cluster)
    result.start_streams_and_bookings(seconds, tokens)
    return result


@pytest_bdd.when("callers return when an overloaded host tells them to")
def return_when_overloaded(callers):
    callers.returns_when_overloaded = True


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "all engines stand still for {stall_s:g} s, {count:d} times with {pause_s:g} s "
        "between"
    )
)
def stall_engines(cluster, stall_s, count, pause_s):
    engines = [name for name in cluster.upstreams_by_name if name.startswith("scribe")]
    for _ in range(count):
        for name in engines:
            cluster.set_faults(name, freeze_s=stall_s)
        time.sleep(stall_s + pause_s)


@pytest_bdd.when(pytest_bdd.parsers.parse('"{name}" gets SIGTERM after {delay_s:g} s'))
def terminate_entry(cluster, name, delay_s):
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
def check_exit_status(cluster, name, bound_s):
    assert cluster.entries_by_name[name].process.wait(bound_s) == 0


@pytest_bdd.then("every stream is whole and every booking landed once")
def check_all_streams_and_bookings(cluster, callers):
    responses = callers.wait()
    assert responses
    incomplete = [each.describe() for each in responses if not each.is_complete()]
    assert not incomplete, "\n".join(incomplete)
    statuses_by_key = callers.booking_statuses_by_key
    assert not callers.booking_errors
    assert set(statuses_by_key.values()) == {201}
    assert count_runs_by_key(cluster) == dict.fromkeys(statuses_by_key, 1)


@pytest_bdd.then("every answer is whole and its caller's own")
def check_complete_responses(callers):
    for response in callers.wait():
        assert response.error is None, response.error
        assert response.has_end_marker
        assert response.text == response.expected_text()


@pytest_bdd.when(
    pytest_bdd.parsers.parse('the owner of the permits of "{name}" is killed')
)
def kill_permit_owner(cluster, name):
    cluster.entries_by_name[find_permit_owner(cluster, name)].kill()


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the owner of the permits of "{name}" freezes for {seconds:g} s'
    )
)
def freeze_permit_owner(cluster, name, seconds):
    entry = cluster.entries_by_name[find_permit_owner(cluster, name)]
    entry.freeze()
    time.sleep(seconds)
    entry.thaw()


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'the platform is down for {seconds:g} s, "{entry}" is killed and "{engine}" '
        "restarts"
    )
)
def cause_combined_failures(cluster, callers, seconds, entry, engine):
    callers.tolerates_connection_errors = True
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
def kill_repeatedly(cluster, callers, name, count):
    callers.tolerates_connection_errors = True
    for _ in range(count):
        time.sleep(0.7)
        cluster.entries_by_name[name].kill()
        cluster.start_entry(name)
        entry = cluster.entries_by_name[name]
        deployment.wait_until(entry.is_ready, deployment.START_TIMEOUT_S, name)


@pytest_bdd.when(pytest_bdd.parsers.parse('the data centre "{name}" is taken out'))
def take_data_centre_out(cluster, name):
    time.sleep(1)
    cluster.publish_service_state(data_centres_out=[name])


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        '"{entry}" is frozen, "{data_centre}" is taken out and "{entry}" thaws after '
        "{seconds:g} s"
    )
)
def take_data_centre_out_while_frozen(cluster, entry, data_centre, seconds):
    cluster.entries_by_name[entry].freeze()
    cluster.publish_service_state(data_centres_out=[data_centre])
    time.sleep(seconds)
    cluster.entries_by_name[entry].thaw()


@pytest_bdd.then(
    pytest_bdd.parsers.parse('completions at "{entry}" never reach "{engine}"')
)
def check_no_completion_reaches(cluster, entry, engine):
    before = cluster.read_counts(engine)["runs"]
    statuses = []
    for number in range(30):
        response = cluster.send_completion(entry, f"Thread {number}.", max_tokens=2)
        statuses.append(response.status)
        assert response.status == 200 or response.headers["X-Execution"] == "not_run"
    assert 200 in statuses
    assert cluster.read_counts(engine)["runs"] == before


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{name}" tells the balancer within {bound_s:g} s that it takes no callers'
    )
)
def check_not_ready(cluster, name, bound_s):
    entry = cluster.entries_by_name[name]
    deployment.wait_until(lambda: not entry.is_ready(), bound_s, f"{name} is not ready")


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{engine}" starts nothing from {bound_s:g} s on for {seconds:g} s'
    )
)
def check_no_new_runs(cluster, engine, bound_s, seconds):
    time.sleep(bound_s)
    before = cluster.read_counts(engine)["runs"]
    assert before
    time.sleep(seconds)
    assert cluster.read_counts(engine)["runs"] == before


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{engine}" starts something within {bound_s:g} s after "{name}" is brought '
        "back"
    )
)
def check_new_run_after_return(cluster, engine, bound_s, name):
    before = cluster.read_counts(engine)["runs"]
    cluster.publish_service_state()
    deployment.wait_until(
        lambda: cluster.read_counts(engine)["runs"] > before,
        bound_s,
        f"{engine} starts a request",
    )


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        'every stream that arrived is whole or refused as "{execution}"'
    )
)
def check_streams_complete_or_refused(callers, execution):
    responses = callers.wait()
    assert sum(response.is_complete() for response in responses) >= len(responses) / 2
    check_refusals(callers, execution)


@pytest_bdd.then("no booking ran twice and every confirmed one ran")
def check_bookings_run_at_most_once(cluster, callers):
    callers.wait()
    runs_by_key = count_runs_by_key(cluster)
    assert max(runs_by_key.values()) == 1
    for key, status in callers.booking_statuses_by_key.items():
        if status == 201:
            assert runs_by_key.get(key) == 1, key
        elif status in (429, 503):
            assert key not in runs_by_key, key


@pytest_bdd.then(pytest_bdd.parsers.parse("at least {count:d} bookings are confirmed"))
def check_confirmed_bookings(callers, count):
    statuses = list(callers.booking_statuses_by_key.values())
    assert statuses.count(201) >= count


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        '"{entry}" serves a completion and a booking within {bound_s:g} s'
    )
)
def check_entry_serves(cluster, entry, bound_s):
    def is_served():
        completion = cluster.send_completion(entry, "Once more.", max_tokens=3)
        booking = cluster.send_booking(entry, 1, "the last booking")
        return (completion.status, booking.status) == (200, 201)

    deployment.wait_until(
        is_served, bound_s, f"{entry} serves a completion and a booking"
    )


@pytest_bdd.when("the platform goes down")
def stop_platform(cluster):
    cluster.set_faults("platform", down=True)


@pytest_bdd.then("no engine got more than it bears")
def check_engines_not_overloaded(cluster, callers):
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        # A caller of a killed or frozen entry host gets no response.
        callers.wait()
    for name in cluster.upstreams_by_name:
        if name.startswith("scribe"):
            counts = cluster.read_counts(name)
            assert counts["most_concurrent_cold"] <= COLD_ENGINE.cold_limit, counts
            assert counts["falls"] == 0, counts


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        'at least {count:d} completions are whole and each refusal says "{execution}"'
    )
)
def check_complete_count(callers, count, execution):
    responses = callers.wait()
    assert sum(response.is_complete() for response in responses) >= count
    check_refusals(callers, execution)


@pytest_bdd.then(pytest_bdd.parsers.parse('each refusal says "{execution}"'))
def check_refusals(callers, execution):
    for response in callers.wait():
        if not response.is_complete():
            assert response.status != 200, response.describe()
            assert response.error["execution"] == execution, response.describe()


@pytest_bdd.then("no answer claims to be whole")
def check_no_complete_response(callers):
    for response in callers.wait():
        assert not response.has_end_marker
        assert response.expected_text().startswith(response.text)


@pytest_bdd.then(
    pytest_bdd.parsers.parse('each failure says that the outcome is "{execution}"')
)
def check_error_outcome(callers, execution):
    assert {response.error["execution"] for response in callers.wait()} == {execution}


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
