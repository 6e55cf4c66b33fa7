import concurrent.futures
import pathlib
import socket
import time

import attrs
import pytest
import pytest_bdd
from pytest_bdd import parsers

from scenarios import run_once_deployment
from sycamorespoke import admission, domain

pytest_bdd.scenarios("not_run.feature")

KEY = "key-1"
# Error kinds of the HTTP front end, the stream relay and the gateway, covered by their
# tests.
KINDS_TESTED_ELSEWHERE = {
    "too_large",
    "unauthenticated",
    "no_route",
    "not_ready",
    "prompt_quarantined",
    "request_quarantined",
    "cancelled",
    "internal",
    "stream_unknown",
    "version_loading",
    "withdrawn",
}
SHORT_WAIT_S = 0.3


def make_configuration(**account):
    group = domain.UpstreamGroup("agenda", domain.UpstreamKind.SERVICE, limit=1)
    return domain.Configuration(
        limits=domain.Limits(queue_wait_s=SHORT_WAIT_S),
        groups_by_name={"agenda": group},
        routes_by_name={"jobs": domain.Route("jobs", "agenda", idempotent=False)},
        accounts_by_name={"borron": domain.ClientAccount("borron", "0", **account)},
    )


@attrs.define
class Caller:
    """Sends bookings through admission and `run_once`, like an entry host."""

    deployment: run_once_deployment.Deployment
    admission_control: admission.Admission
    result: object = None
    running: object = None

    @property
    def host(self):
        return self.deployment.hosts[0]

    def acquire(self, deadline_s=run_once_deployment.DEADLINE_S):
        now = time.monotonic()
        return self.admission_control.acquire("borron", "jobs", deadline_s, now)

    def release(self, ticket):
        outcome = admission.AttemptOutcome.ANSWERED
        self.admission_control.release(ticket, outcome, time.monotonic())

    def book(self, deadline_s=run_once_deployment.DEADLINE_S, **parameters):
        ticket = self.acquire(deadline_s)
        if isinstance(ticket, domain.Refusal):
            return ticket
        try:
            return self.host.run_request(KEY, deadline_s, **parameters)
        finally:
            self.release(ticket)


@pytest.fixture
def caller():
    deployment = run_once_deployment.Deployment()
    control = admission.Admission(make_configuration())
    control.set_upstreams("agenda", ["agenda-1"], time.monotonic())
    yield Caller(deployment, control)
    deployment.stop()


@pytest.fixture
def executor():
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        yield pool


@pytest_bdd.given("a platform, a plain service and an entry host with admission")
def given_caller(caller):
    return caller


def when_refused_because(cause):
    return pytest_bdd.when(f"a booking is refused because {cause}")


@when_refused_because("its header is malformed")
def when_malformed(caller):
    caller.result = caller.book(headers=(("X-A", "1\r\nX-B: 2"),))


@when_refused_because("the key was used for another request")
def when_reused(caller):
    other = caller.host.run_request(KEY, body=b'{"slot": 1}')
    assert other.status == 201
    caller.result = caller.book()


@when_refused_because("the account is over its rate")
def when_rate(caller):
    caller.admission_control.configure(make_configuration(rate=0.1))
    caller.release(caller.acquire())
    caller.result = caller.book()


@when_refused_because("the account runs too many requests")
def when_concurrency(caller):
    caller.admission_control.configure(make_configuration(concurrency=1))
    caller.acquire()
    caller.result = caller.book()


@when_refused_because("the wait would be too long")
def when_wait_too_long(caller):
    ticket = caller.acquire()
    time.sleep(2 * SHORT_WAIT_S)
    caller.release(ticket)
    caller.acquire()
    started_s = time.monotonic()
    caller.result = caller.book()
    assert time.monotonic() - started_s < SHORT_WAIT_S


@when_refused_because("it waited for the whole bound")
def when_waited(caller):
    caller.acquire()
    caller.result = caller.book()


@when_refused_because("there is no upstream")
def when_no_upstream(caller):
    caller.admission_control.set_upstreams("agenda", [], time.monotonic())
    caller.result = caller.book()


@when_refused_because("the host is stopping")
def when_stopping(caller):
    caller.host.stop()
    caller.result = caller.book()


@when_refused_because("the platform is down")
def when_platform_down(caller):
    caller.deployment.platform.standin.set_faults({"down": True})
    caller.result = caller.book()


@when_refused_because("the platform does not answer in time")
def when_platform_slow(caller):
    # The claim takes effect after the caller has received "not run".
    caller.deployment.platform.standin.set_faults({"delay_s": 2 * SHORT_WAIT_S})
    caller.result = caller.book(deadline_s=SHORT_WAIT_S)


@when_refused_because("the first one with its key is running")
def when_running(caller, executor):
    caller.deployment.service.standin.set_faults({"work_s": SHORT_WAIT_S})
    interruption = run_once_deployment.Interruption("after the send", is_pause=True)
    caller.host.interruption = interruption
    caller.running = executor.submit(caller.host.run_request, KEY)
    assert interruption.reached.wait(run_once_deployment.WAIT_TIMEOUT_S)
    caller.host.interruption = run_once_deployment.Interruption()
    caller.result = caller.book()
    interruption.resume()
    assert caller.running.result().status == 201


@when_refused_because("the first one with its key was lost")
def when_first_lost(caller):
    caller.deployment.service.standin.set_faults({"lose_answers": 1})
    caller.host.run_request(KEY)
    caller.result = caller.book()


@when_refused_because("its deadline passes at the claim")
def when_deadline_at_claim(caller, executor):
    interruption = run_once_deployment.Interruption("after the claim", is_pause=True)
    caller.host.interruption = interruption
    caller.running = executor.submit(caller.book, SHORT_WAIT_S)
    assert interruption.reached.wait(run_once_deployment.WAIT_TIMEOUT_S)
    time.sleep(SHORT_WAIT_S)
    interruption.resume()
    caller.result = caller.running.result()


@when_refused_because("its deadline passes at the service")
def when_deadline_at_service(caller):
    caller.deployment.service.standin.set_faults({"work_s": 2 * SHORT_WAIT_S})
    caller.result = caller.book(SHORT_WAIT_S)


@when_refused_because("the service refuses it")
def when_refused(caller):
    caller.deployment.service.standin.set_faults({"full": True})
    caller.result = caller.book()


@when_refused_because("the service takes no connection")
def when_unreachable(caller):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
    upstream = attrs.evolve(caller.deployment.upstream, address=address)
    caller.result = caller.book(upstreams=[upstream])


@when_refused_because("the service closes it without an answer")
def when_lost(caller):
    caller.deployment.service.standin.set_faults({"lose_answers": 1})
    caller.result = caller.book()


@when_refused_because("the answer belongs to another request")
def when_mismatch(caller):
    caller.deployment.service.standin.set_faults({"cross_answers": 1})
    caller.result = caller.book()


@pytest_bdd.then(parsers.parse("the caller is told {kind}"))
def then_kind(caller, kind):
    assert run_once_deployment.describe_result(caller.result) == kind


@pytest_bdd.then(
    parsers.parse(
        "the service ran it {runs:d} times, in line with what the caller is told"
    )
)
def then_runs(caller, runs):
    runs_counted = caller.deployment.count_runs(KEY)
    if caller.result.kind is domain.ErrorKind.KEY_REUSED:
        runs_counted -= 1  # The other request with this key ran once.
    assert runs_counted == runs
    execution = caller.result.error_response().execution
    if execution is domain.Execution.NOT_RUN:
        assert runs == 0
    assert execution is not domain.Execution.RAN or runs == 1


@pytest_bdd.then("a refusal that says not run leaves the key free")
def then_free(caller):
    refused = caller.result
    if refused.error_response().execution is not domain.Execution.NOT_RUN:
        return
    if refused.kind is domain.ErrorKind.KEY_REUSED:
        return
    caller.deployment.clear_faults()
    assert caller.deployment.hosts[1].run_request(KEY).status == 201
    assert caller.deployment.count_runs(KEY) == 1


def test_every_error_kind_has_an_example():
    text = pathlib.Path(__file__).with_name("not_run.feature")
    cells = {
        cell.strip()
        for line in text.read_text().splitlines()
        for cell in line.split("|")
    }
    kinds = {kind.value for kind in domain.ErrorKind}
    assert kinds - cells == KINDS_TESTED_ELSEWHERE
