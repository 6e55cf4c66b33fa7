import json
import threading

import attrs
import pytest
import pytest_bdd
from cleo.io.outputs import buffered_output
from pytest_bdd import parsers

from sycamorespoke import clients, commands, messages, standins

SHARED_KEY = "ab" * 32
BARRIER_TIMEOUT_S = 10
JUSTIFICATION = "  # asked by Salma: race morning\n"
DATA_CENTRES = f"data-centre seeb{JUSTIFICATION}data-centre ruwi{JUSTIFICATION}"
TEXTS_BY_NAME = {
    "first": f"deployment abrr link=0.1{JUSTIFICATION}{DATA_CENTRES}",
    "second": f"deployment abrr link=0.2{JUSTIFICATION}{DATA_CENTRES}",
    "third": f"deployment abrr link=0.3{JUSTIFICATION}{DATA_CENTRES}",
    "broken": "deployment abrr link=x\nzone seeb" + JUSTIFICATION,
}

pytest_bdd.scenarios("configuration_operators.feature")


@attrs.frozen
class CommandResult:
    code: int
    output: str


class Clock:
    """Simulated clock that advances only when `sleep` is called."""

    def __init__(self):
        self.now_s = 0.0

    def sleep(self, duration_s):
        self.now_s += duration_s

    def as_clock(self):
        return commands.Clock(lambda: self.now_s, self.sleep, lambda: "2026-12-03")


class EntryHost:
    """Entry host that reports the revisions in force to operators.

    They are those of the platform, or `fixed_revision` if it is set.
    """

    def __init__(self, name, platform_url):
        self.name = name
        self.data_centre = name.split("-")[0]
        self.fixed_revision = None
        self._client = clients.PlatformClient(platform_url)
        self._server = messages.Server("127.0.0.1:0", SHARED_KEY, self._handle)
        self.address = self._server.address
        self.stop = self._server.stop

    def _handle(self, _):
        revisions = [self._read_revision(name) for name in ("rules", "service-state")]
        return messages.InForceReply(self.name, self.data_centre, True, *revisions, 1)

    def _read_revision(self, name):
        if self.fixed_revision is not None:
            return self.fixed_revision
        result = self._client.get(name)
        return (
            result.value["revision"] if isinstance(result, clients.StoredObject) else 0
        )


class OperatorsDeployment:
    """A platform stand-in, entry hosts, and operators that run commands."""

    def __init__(self, folder):
        self.folder = folder
        self.standin = standins.PlatformStandin()
        self.server = standins.run_in_thread(self.standin, threads=8)
        self.hosts_by_name = {}
        self.results = []
        self.clock = Clock()
        self.platform_class = clients.PlatformClient
        for name, text in TEXTS_BY_NAME.items():
            (folder / name).write_text(text, encoding="utf-8")

    def stop(self):
        for host in self.hosts_by_name.values():
            host.stop()
        self.server.close()

    def add_hosts(self, *names):
        for name in names:
            self.hosts_by_name[name] = EntryHost(name, self.server.url)
        hosts = [
            {
                "name": host.name,
                "data_centre": host.data_centre,
                "role": "entry",
                "address": "127.0.0.1:1",
                "peer_address": host.address.removeprefix("tcp://"),
                "state": "live",
            }
            for host in self.hosts_by_name.values()
        ]
        self.standin.set_hosts(hosts, lag_s=0.0)

    def run(self, author, *words):
        output = buffered_output.BufferedOutput()
        error = buffered_output.BufferedOutput()
        self.clock = clock = Clock()

        def make_context(*_):
            platform = self.platform_class(self.server.url)
            return commands.Context(platform, SHARED_KEY, author, clock.as_clock())

        code = commands.run(list(words), make_context, output, error)
        result = CommandResult(code, output.fetch() + error.fetch())
        self.results.append(result)
        return result

    def apply(self, author, name, *options):
        return self.run(author, "rules", "apply", str(self.folder / name), *options)

    def run_concurrently(self, first, second):
        barrier = threading.Barrier(2)
        results = {}
        self.platform_class = lambda url: SimultaneousWritesClient(url, barrier)

        def run(command):
            results[command[0]] = self.run(*command)

        threads = [
            threading.Thread(target=run, args=(command,)) for command in (first, second)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def read_value(self, name):
        return clients.PlatformClient(self.server.url).get(name).value


class SimultaneousWritesClient(clients.PlatformClient):
    """Delays the first write of each operator until both have read."""

    def __init__(self, base_url, barrier):
        super().__init__(base_url)
        self.barrier = barrier
        self.is_first = True

    def put(self, name, value, version):
        if self.is_first and name in ("rules", "service-state"):
            self.is_first = False
            self.barrier.wait(BARRIER_TIMEOUT_S)
        return super().put(name, value, version)


class LostRulesResponseClient(clients.PlatformClient):
    """Loses the response to the first write of the rules, which takes effect."""

    def __init__(self, base_url, standin):
        super().__init__(base_url)
        self.standin = standin
        self.lost_responses = []

    def put(self, name, value, version):
        if name == "rules" and not self.lost_responses:
            self.standin.set_faults({"lose_answers": 1})
            self.lost_responses.append(super().put(name, value, version))
            assert isinstance(self.lost_responses[0], clients.Uncertain)
            return self.lost_responses[0]
        return super().put(name, value, version)


class LostResponseThenDownClient(clients.PlatformClient):
    """Loses the response to a write of the rules; the platform is down afterwards."""

    is_down = False

    def get(self, name):
        return clients.Unavailable("down") if self.is_down else super().get(name)

    def put(self, name, value, version):
        if self.is_down:
            return clients.Unavailable("down")
        result = super().put(name, value, version)
        if name != "rules":
            return result
        self.is_down = True
        return clients.Uncertain("lost")


@pytest.fixture
def deployment(tmp_path):
    created = OperatorsDeployment(tmp_path)
    try:
        yield created
    finally:
        created.stop()


@pytest_bdd.given(parsers.parse("a platform and the entry hosts {one} and {other}"))
def _(deployment, one, other):
    deployment.add_hosts(one, other)


@pytest_bdd.given(parsers.parse('{author} has applied the rules file "{name}"'))
def _(deployment, author, name):
    assert deployment.apply(author, name).code == 0


@pytest_bdd.given("the platform loses the answer to the write of the rules")
def _(deployment):
    deployment.platform_class = lambda url: LostRulesResponseClient(
        url, deployment.standin
    )


@pytest_bdd.given("the platform is down")
def _(deployment):
    deployment.standin.set_faults({"down": True})


@pytest_bdd.given("the platform serves old reads")
def _(deployment):
    deployment.standin.set_faults({"stale_reads": True})


@pytest_bdd.given("the platform loses the answer to a write and then goes down")
def _(deployment):
    deployment.platform_class = LostResponseThenDownClient


@pytest_bdd.given(parsers.parse("the host {name} keeps revision {revision:d}"))
def _(deployment, name, revision):
    deployment.hosts_by_name[name].fixed_revision = revision


@pytest_bdd.when("the platform is up again")
def _(deployment):
    deployment.standin.set_faults({})


@pytest_bdd.when(parsers.parse('{author} applies the rules file "{name}"'))
def _(deployment, author, name):
    deployment.apply(author, name)


@pytest_bdd.when(
    parsers.parse(
        '{author} applies the rules file "{name}" based on revision {revision:d}'
    )
)
def _(deployment, author, name, revision):
    deployment.apply(author, name, "--base", str(revision))


@pytest_bdd.given(parsers.parse('{author} runs "{words}"'))
@pytest_bdd.when(parsers.parse('{author} runs "{words}"'))
def _(deployment, author, words):
    deployment.run(author, *words.split())


@pytest_bdd.when(
    parsers.parse(
        "{one} and {other} apply the rules files "
        '"{first}" and "{second}" at once, both based on revision {revision:d}'
    ),
    target_fixture="results_by_author",
)
def _(deployment, one, other, first, second, revision):
    paths = [str(deployment.folder / name) for name in (first, second)]
    options = ("--base", str(revision))
    return deployment.run_concurrently(
        (one, "rules", "apply", paths[0], *options),
        (other, "rules", "apply", paths[1], *options),
    )


@pytest_bdd.when(
    parsers.parse("{one} and {other} take out {first} and {second} at once"),
    target_fixture="results_by_author",
)
def _(deployment, one, other, first, second):
    return deployment.run_concurrently(
        (one, "data-centre", "out", first, "--force"),
        (other, "data-centre", "out", second, "--force"),
    )


@pytest_bdd.then(parsers.parse('the command ends with {code:d} and says "{text}"'))
def _(deployment, code, text):
    result = deployment.results[-1]
    assert result.code == code, result.output
    assert text in result.output


@pytest_bdd.then(parsers.parse('it shows the change "{line}"'))
def _(deployment, line):
    assert line in deployment.results[-1].output


@pytest_bdd.then(parsers.parse("it has waited for {seconds:d} seconds"))
def _(deployment, seconds):
    assert seconds <= deployment.clock.now_s < seconds + 1


@pytest_bdd.then(
    parsers.parse('the rules in the platform are "{name}" at revision {revision:d}')
)
def _(deployment, name, revision):
    value = deployment.read_value("rules")
    assert (value["text"], value["revision"]) == (TEXTS_BY_NAME[name], revision)


@pytest_bdd.then(parsers.parse("the history holds the revisions {one:d} and {other:d}"))
def _(deployment, one, other):
    client = clients.PlatformClient(deployment.server.url)
    names = sorted(client.list("rules-history/"))
    assert names == [f"rules-history/{one}", f"rules-history/{other}"]
    deployment.run("Salma", "rules", "history", "--json")
    entries = json.loads(deployment.results[-1].output)
    assert [entry["revision"] for entry in entries] == [one, other]


@pytest_bdd.then(
    parsers.parse("one ends with {code:d} and the other with {other_code:d}")
)
def _(results_by_author, code, other_code):
    codes = sorted(result.code for result in results_by_author.values())
    assert codes == [code, other_code], results_by_author


def find_winner(results_by_author):
    return next(
        author for author, result in results_by_author.items() if result.code == 0
    )


def find_loser_output(results_by_author):
    return next(
        result.output for result in results_by_author.values() if result.code != 0
    )


@pytest_bdd.then("the loser is told the author and the change of the winner")
def _(results_by_author):
    winner = find_winner(results_by_author)
    link = {"Salma": "link=0.2", "Badr": "link=0.3"}[winner]
    output = find_loser_output(results_by_author)
    assert "nothing was applied" in output
    assert f"of {winner}" in output
    assert f"+deployment abrr {link}" in output


@pytest_bdd.then(
    parsers.parse(
        "the rules in the platform are those of the winner at revision {revision:d}"
    )
)
def _(deployment, results_by_author, revision):
    value = deployment.read_value("rules")
    assert (value["author"], value["revision"]) == (
        find_winner(results_by_author),
        revision,
    )


@pytest_bdd.then("the loser is told which data centre the winner took out")
def _(results_by_author):
    winner = find_winner(results_by_author)
    name = {"Salma": "seeb", "Badr": "ruwi"}[winner]
    assert f"of {winner}: data-centre {name} out" in find_loser_output(
        results_by_author
    )


@pytest_bdd.then("one data centre is out")
def _(deployment):
    assert len(deployment.read_value("service-state")["data_centres_out"]) == 1


@pytest_bdd.then(parsers.re(r'the data centres out are "(?P<names>.*)"'))
def _(deployment, names):
    assert deployment.read_value("service-state")["data_centres_out"] == names.split()
