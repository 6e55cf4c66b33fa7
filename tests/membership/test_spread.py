"""Replication of rules and service state under any order of delivery."""

import hypothesis
from hypothesis import strategies

from sycamorespoke import decisions, messages
from sycamorespoke.membership import _actor
from tests import fakes

NAMES = ["seeb-1", "seeb-2", "ruwi-1", "ruwi-2", "qurum-1"]
HOST = strategies.sampled_from(NAMES)
FLAG = strategies.sampled_from(["down", "silent", "stale"])
STEP = strategies.one_of(
    strategies.tuples(strategies.just("publish")),
    strategies.tuples(strategies.just("follow"), HOST),
    strategies.tuples(strategies.just("exchange"), HOST, HOST),
    strategies.tuples(strategies.just("exchange"), HOST, HOST),
    strategies.tuples(strategies.just("fault"), HOST, FLAG),
    strategies.tuples(strategies.just("deliver_old"), HOST, HOST),
    strategies.tuples(strategies.just("freeze"), HOST),
    strategies.tuples(strategies.just("restart"), HOST),
    strategies.tuples(strategies.just("wait"), strategies.sampled_from([0.3, 1, 4])),
)


class Spread:
    """Apply the steps to a fleet and track the revisions in force."""

    def __init__(self):
        self.fleet = fakes.Fleet(NAMES)
        self.revisions_by_name = dict.fromkeys(NAMES, 0)
        self.published = []
        self.old_documents_by_name = {}
        self.publish()
        self.fleet.run(1)
        self.publish()

    def publish(self):
        self.fleet.platform.publish_rules()
        self.fleet.platform.publish_state()
        self.published.append(self.fleet.now)

    def follow(self, name):
        if not self.fleet.hosts_by_name[name].frozen:
            self.fleet.hosts_by_name[name].poll_platform()

    def exchange(self, sender, receiver):
        if sender != receiver:
            self.fleet.exchange_heartbeats(sender, receiver)

    def deliver_old(self, receiver, sender):
        """Deliver an old document that the sender had at the previous call."""
        document = self.old_documents_by_name.get(sender)
        if document is not None:
            self.fleet.hosts_by_name[receiver].handle_message(
                _actor.DocumentReceived(document)
            )
        documents_by_kind = self.fleet.hosts_by_name[sender].state.documents_by_kind
        kind = messages.DocumentKind.SERVICE_STATE
        self.old_documents_by_name[sender] = documents_by_kind[kind]

    def fault(self, name, flag):
        connection = self.fleet.hosts_by_name[name].connection
        setattr(connection, flag, not getattr(connection, flag))

    def freeze(self, name):
        host = self.fleet.hosts_by_name[name]
        host.frozen = not host.frozen

    def restart(self, name):
        self.fleet.hosts_by_name[name].start()
        self.revisions_by_name[name] = 0

    def wait(self, seconds):
        self.fleet.now += seconds

    def heal(self):
        for host in self.fleet.hosts_by_name.values():
            host.frozen = False
            connection = host.connection
            connection.down = connection.silent = connection.stale = False

    def check_no_reversal(self):
        for name, host in self.fleet.hosts_by_name.items():
            revision = host.view.service_state.revision
            assert revision >= self.revisions_by_name[name]
            self.revisions_by_name[name] = revision


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(steps=strategies.lists(STEP, min_size=10, max_size=50))
def test_spread_never_reverts_and_reaches_all(steps):
    spread = Spread()
    for action, *arguments in steps:
        getattr(spread, action)(*arguments)
        spread.check_no_reversal()
    spread.heal()
    spread.fleet.run(3)
    spread.check_no_reversal()
    newest = spread.fleet.platform.revision("service-state")
    for host in spread.fleet.hosts_by_name.values():
        assert host.view.service_state.revision == newest
        assert decisions.is_ready(host.view, spread.fleet.now)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(steps=strategies.lists(STEP, min_size=10, max_size=50))
def test_spread_platform_confirmation_is_true(steps):
    # With reads that are not stale, whoever was confirmed at a time held what
    # had been published by then.
    spread = Spread()
    for action, *arguments in steps:
        if arguments[-1:] != ["stale"]:
            getattr(spread, action)(*arguments)
        for host in spread.fleet.hosts_by_name.values():
            confirmed_s = host.view.platform_confirmed_s
            before = [at_s for at_s in spread.published if at_s < confirmed_s]
            assert host.view.service_state.revision >= len(before)
