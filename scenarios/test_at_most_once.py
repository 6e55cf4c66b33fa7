import concurrent.futures
import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from scenarios import run_once_deployment

pytest_bdd.scenarios("at_most_once.feature")

KEY = "key-1"
MAX_ATTEMPTS = 60
RETRY_PAUSE_S = 0.05
OUTAGE_S = 0.4
FINAL_RESULTS = ("201", "outcome_unknown")
PAUSED_DEADLINE_S = 0.3


@pytest.fixture
def deployment():
    result = run_once_deployment.Deployment()
    yield result
    result.stop()


@pytest.fixture
def executor():
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        yield pool


@pytest.fixture
def results():
    return {}


@pytest_bdd.given("a platform, a plain service and two entry hosts")
def given_deployment(deployment):
    return deployment


@pytest_bdd.given(parsers.parse("the service takes {work_s:f} s for a call"))
def given_service_duration(deployment, work_s):
    deployment.service.standin.set_faults({"work_s": work_s})


@pytest_bdd.given(parsers.parse("the platform loses its next {count:d} answers"))
def given_lost_platform_answers(deployment, count):
    deployment.platform.standin.set_faults({"lose_answers": count})


@pytest_bdd.given(parsers.parse("the service loses its next {count:d} answers"))
def given_lost_service_answers(deployment, count):
    deployment.service.standin.set_faults({"lose_answers": count})


@pytest_bdd.given("the platform is down")
def given_platform_down(deployment):
    deployment.platform.standin.set_faults({"down": True})


@pytest_bdd.when(
    parsers.parse("{count:d} callers send one key through both hosts at once")
)
def when_sent_concurrently(deployment, executor, count):
    requests = [
        executor.submit(deployment.hosts[number % 2].run_request, KEY)
        for number in range(count)
    ]
    answers = {
        run_once_deployment.describe_result(request.result()) for request in requests
    }
    assert answers <= {"201", "in_progress"}


@pytest_bdd.when(
    parsers.parse(
        "a caller with a deadline of {deadline_s:f} s sends a key through host 1"
    )
)
def when_sent_with_deadline(deployment, results, deadline_s):
    results["result"] = deployment.hosts[0].run_request(KEY, deadline_s)


@pytest_bdd.when("a caller sends a key through host 1")
def when_sent(deployment, results):
    results["result"] = deployment.hosts[0].run_request(KEY)


@pytest_bdd.when(parsers.re("host 1 is killed (?P<moment>.+)"))
def when_killed(deployment, moment):
    host = deployment.hosts[0]
    host.interruption = run_once_deployment.Interruption(moment)
    with pytest.raises(run_once_deployment.HostKilledError):
        host.run_request(KEY)
    host.stop()


@pytest_bdd.when(parsers.re("host 1 is paused (?P<moment>.+)"))
def when_paused(deployment, executor, results, moment):
    host = deployment.hosts[0]
    host.interruption = run_once_deployment.Interruption(moment, is_pause=True)
    results["paused"] = executor.submit(host.run_request, KEY, PAUSED_DEADLINE_S)
    assert host.interruption.reached.wait(run_once_deployment.WAIT_TIMEOUT_S)
    time.sleep(PAUSED_DEADLINE_S)


@pytest_bdd.when("host 1 is thawed")
def when_resumed(deployment):
    deployment.hosts[0].interruption.resume()


@pytest_bdd.when("an hour passes")
def when_hour_passes(deployment):
    deployment.clock_offset_s += run_once_deployment.HOUR_S


@pytest_bdd.when("a day passes")
def when_day_passes(deployment):
    deployment.clock_offset_s += 25 * run_once_deployment.HOUR_S


@pytest_bdd.when("the platform is back")
def when_platform_back(deployment):
    deployment.clear_faults()


@pytest_bdd.when("the platform goes down while a call of host 1 runs")
def when_platform_down_while_running(deployment, executor, results):
    host = deployment.hosts[0]
    host.interruption = run_once_deployment.Interruption(
        "after the send", is_pause=True
    )
    request = executor.submit(host.run_request, KEY)
    assert host.interruption.reached.wait(run_once_deployment.WAIT_TIMEOUT_S)
    deployment.platform.standin.set_faults({"down": True})
    host.interruption.resume()
    results["result"] = request.result()


@pytest_bdd.when(
    parsers.parse(
        "{count:d} keys are sent by callers that repeat while the platform"
        " is down at times"
    )
)
def when_repeating(deployment, executor, results, count):
    def send_until_final(number):
        for attempt in range(MAX_ATTEMPTS):
            host = deployment.hosts[(number + attempt) % 2]
            answer = run_once_deployment.describe_result(
                host.run_request(f"key-{number}")
            )
            if answer in FINAL_RESULTS:
                break
            time.sleep(RETRY_PAUSE_S)
        return answer

    requests = [executor.submit(send_until_final, number) for number in range(count)]
    for is_down in (True, False, True, False):
        faults = deployment.platform.standin.faults
        deployment.platform.standin.set_faults({**faults, "down": is_down})
        time.sleep(OUTAGE_S)
    results["answers"] = [request.result() for request in requests]


@pytest_bdd.then(parsers.parse("the service ran the key {runs:d} times"))
def then_runs(deployment, runs):
    assert deployment.count_runs(KEY) == runs


@pytest_bdd.then(parsers.parse("the caller gets {answer}"))
def then_answer(results, answer):
    assert run_once_deployment.describe_result(results["result"]) == answer


@pytest_bdd.then(parsers.parse("the paused caller gets {answer}"))
def then_paused_answer(results, answer):
    result = results["paused"].result(run_once_deployment.WAIT_TIMEOUT_S)
    assert run_once_deployment.describe_result(result) == answer


@pytest_bdd.then(
    parsers.parse("a caller that repeats it through host {number:d} gets {answer}")
)
def then_repeated(deployment, number, answer):
    deployment.flush()
    result = deployment.hosts[number - 1].run_request(KEY)
    assert run_once_deployment.describe_result(result) == answer


@pytest_bdd.then("the service ran no key twice")
def then_none_twice(deployment):
    assert max(deployment.count_runs_by_key().values()) == 1


@pytest_bdd.then(
    parsers.parse("at least {count:d} callers got the answer to their booking")
)
def then_succeeded(results, count):
    assert results["answers"].count("201") >= count


@pytest_bdd.then(
    parsers.parse("at most {count:d} callers were told that the outcome is unknown")
)
def then_unknown(results, count):
    assert results["answers"].count("outcome_unknown") <= count
