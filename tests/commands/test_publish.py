import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import clients, commands, decisions
from sycamorespoke.commands import _publish
from tests import fakes


class Platform(fakes.FakePlatform):
    """Fake platform with stale reads, and actions that run before a request.

    It records the values that it accepted. ``before_call`` maps the number of a
    request, from 1, to a function that runs before it, for example another
    operator's change.
    """

    def __init__(self, faults=(), stale=(), before_call=None):
        super().__init__(faults)
        self.stale = list(stale)
        self.before_call = before_call or {}
        self.calls = 0
        self.accepted = []

    def get(self, name):
        self._run_action()
        result = super().get(name)
        is_stale = self.stale.pop(0) if self.stale else False
        if is_stale and isinstance(result, clients.StoredObject):
            return self._previous_by_name.get(name, clients.Missing())
        return result

    def put(self, name, value, version):
        self._run_action()
        return super().put(name, value, version)

    def list(self, prefix):
        if self._next_fault(prefix) != "ok":
            return clients.Unavailable("down")
        return {
            name: version
            for name, version in self._versions_by_name.items()
            if name.startswith(prefix)
        }

    def _run_action(self):
        self.calls += 1
        action = self.before_call.pop(self.calls, None)
        if action is not None:
            action()

    def _put(self, name, text, version):
        result = super()._put(name, text, version)
        if isinstance(result, clients.StoredObject):
            self.accepted.append((name, self._get(name).value))
        return result


def make_clock():
    seconds = [0.0]

    def sleep(duration_s):
        seconds[0] += duration_s

    return commands.Clock(lambda: seconds[0], sleep, lambda: "2026-12-03T00:00:00Z")


def publish(platform, writer, name="rules", base=None):
    change = decisions.PublishRules(f"text of {writer}")
    if name == "service-state":
        change = decisions.SetOutOfService(
            decisions.ResourceKind.DATA_CENTRE, writer, is_out=True
        )
    publisher = _publish.Publisher(platform, make_clock(), timeout_s=1.0)
    return publisher.publish(name, change, f"author of {writer}", writer, base)


FAULTS = st.lists(
    st.sampled_from(["ok", "ok", "down", "lost", "dropped", "late"]), max_size=12
)


@pytest.mark.configuration
@pytest.mark.not_run
@pytest.mark.parametrize("name", ["rules", "service-state"])
@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(
    earlier=st.integers(0, 2),
    faults=FAULTS,
    stale=st.lists(st.booleans(), max_size=12),
    race_at=st.lists(st.integers(1, 12), max_size=3, unique=True),
    lands_at=st.lists(st.integers(1, 12), max_size=2, unique=True),
)
def test_publish_outcome_true(name, earlier, faults, stale, race_at, lands_at):
    platform = Platform()
    for number in range(earlier):
        publish(platform, f"early{number}", name)
    outcomes_by_writer = {}

    def race(writer):
        outcomes_by_writer[writer] = publish(platform, writer, name)

    platform.calls = 0
    platform.faults = faults
    platform.stale = stale
    platform.before_call = dict.fromkeys(lands_at, platform.land_late) | {
        call: lambda call=call: race(f"other{call}") for call in race_at
    }
    outcomes_by_writer["mine"] = publish(platform, "mine", name)
    platform.land_late()

    values = [value for accepted, value in platform.accepted if accepted == name]
    revisions = [value["revision"] for value in values]
    assert revisions == list(range(1, len(values) + 1))
    writers = [value["writer"] for value in values]
    for writer, outcome in outcomes_by_writer.items():
        if isinstance(outcome, _publish.Committed):
            assert writers.count(writer) == 1
        elif isinstance(outcome, _publish.ConflictingChange | _publish.NothingApplied):
            assert writer not in writers
    if name == "rules":
        history = [value for key, value in platform.accepted if key != name]
        assert [value for value in values[:-1] if value not in history] == []


def test_publish_conflicts_with_concurrent_change():
    platform = Platform()
    publish(platform, "first")
    platform.calls = 0
    platform.before_call = {3: lambda: publish(platform, "other")}
    outcome = publish(platform, "mine")
    assert isinstance(outcome, _publish.ConflictingChange)
    assert (outcome.before.writer, outcome.found.writer) == ("first", "other")
    assert platform.get_value("rules")["writer"] == "other"


def test_publish_conflicts_with_outdated_base():
    platform = Platform()
    publish(platform, "first")
    publish(platform, "other")
    outcome = publish(platform, "mine", base=1)
    assert outcome.found.author == "author of other"
    assert platform.get_value("rules")["revision"] == 2


@pytest.mark.parametrize(
    ("name", "faults"),
    [
        # Read, list the history, write and read back; then another operator writes.
        ("rules", ["ok", "ok", "lost", "down"]),
        ("service-state", ["ok", "lost", "down"]),
    ],
)
def test_publish_response_lost_then_replaced(name, faults):
    platform = Platform(faults)
    platform.before_call = {4: lambda: publish(platform, "other", name)}
    outcome = publish(platform, "mine", name)
    assert isinstance(outcome, _publish.Committed)
    assert (outcome.value.revision, outcome.latest.writer) == (1, "other")


def test_publish_after_loss_of_object_continues_revisions():
    platform = Platform()
    publish(platform, "first")
    publish(platform, "second")
    del platform._values_by_name["rules"]
    del platform._versions_by_name["rules"]
    assert publish(platform, "mine").value.revision == 3


@pytest.mark.parametrize("value", [7, {}, {"revision": "x"}, {"revision": True}])
def test_publish_malformed_object(value):
    platform = Platform()
    platform.put("rules", value, 0)
    outcome = publish(platform, "mine")
    assert isinstance(outcome, _publish.NothingApplied)
    assert "malformed" in outcome.reason
