"""Documents in force at a host whose platform comes back from an older copy."""

import time

import pytest

from sycamorespoke import clients, commands, decisions, membership, messages, standins
from sycamorespoke.commands import _publish
from sycamorespoke.membership import _documents, _state

RULES = messages.DocumentKind.RULES


class Deployment:
    """A stand-in, an operator and one host, which has no peers."""

    def __init__(self, handle):
        self.standin = handle.standin
        self.operator = _publish.Publisher(
            clients.PlatformClient(handle.url), commands.Clock()
        )
        self.publish("deployment first  # asked by Salma: drill\n")
        self.older = self.standin.copy()
        self.member = membership.Member.start(
            "seeb-1", "seeb", clients.PlatformClient(handle.url)
        )

    def publish(self, text):
        change = decisions.PublishRules(text)
        outcome = self.operator.publish("rules", change, "Salma", str(time.time()))
        assert isinstance(outcome, _publish.Committed)
        return outcome.value.revision

    @property
    def name(self):
        return self.member.view.configuration.deployment

    @property
    def is_ready(self):
        return self.member.is_ready(time.monotonic())


@pytest.fixture
def deployment():
    handle = standins.run_in_thread(standins.PlatformStandin())
    deployment = Deployment(handle)
    yield deployment
    deployment.member.stop()
    handle.close()


def test_rules_that_get_a_number_again_are_adopted_at_once(deployment, wait_until):
    lost = deployment.publish("deployment lost  # asked by Salma: drill\n")
    assert wait_until(lambda: deployment.name == "lost")
    deployment.standin.restore(deployment.older)
    assert deployment.publish("deployment again  # asked by Salma: drill\n") > lost
    assert wait_until(lambda: deployment.name == "again", 2.0)


def test_rules_in_force_stay_and_are_confirmed_by_an_older_copy(deployment, wait_until):
    deployment.publish("deployment newest  # asked by Salma: drill\n")
    assert wait_until(lambda: deployment.name == "newest" and deployment.is_ready)
    deployment.standin.restore(deployment.older)
    deadline_s = time.monotonic() + 8.0
    while time.monotonic() < deadline_s:
        assert deployment.name == "newest"
        assert deployment.is_ready
        time.sleep(0.1)


def make_state(revision):
    state = _state.MemberState("seeb-1", "seeb")
    state.adopt(_documents.Document(RULES, revision))
    for kind in messages.DocumentKind:
        if kind is not RULES:
            state.record_confirmation(kind, 0, 100.0, 2)
    return state


@pytest.mark.parametrize(
    ("seen", "read", "is_confirmed"),
    [
        # The platform lacks the revision of an earlier era, or has it.
        ([], (4, 2), True),
        ([], (0, 2), True),
        ([], (5, 2), True),
        # Later reads are stale, or show a document that is not adopted yet.
        ([], (4, 0), False),
        ([], (6, 2), False),
        ([(5, 2)], (4, 2), False),
        ([(5, 2)], (4, 3), True),
    ],
)
def test_older_copy_confirms_that_there_is_nothing_newer(seen, read, is_confirmed):
    state = make_state(5)
    for revision, era in seen:
        state.record_confirmation(RULES, revision, 50.0, era)
    state.record_confirmation(RULES, read[0], 100.0, read[1])
    confirmed_s = state.make_snapshot().view.platform_confirmed_s
    assert (confirmed_s == 100.0) is is_confirmed
