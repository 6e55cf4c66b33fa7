"""Scenarios with entry hosts without threads and sockets, in simulated time."""

import attrs
import pytest_bdd
from pytest_bdd import parsers

from sycamorespoke import decisions, domain, messages
from sycamorespoke.membership import _actor, _state
from tests import fakes

pytest_bdd.scenarios(
    "configuration.feature", "data_centre_out.feature", "upstream_leaving.feature"
)


def split_names(text):
    return text.replace(" and ", ", ").split(", ")


@pytest_bdd.given(parsers.parse("entry hosts {names}"), target_fixture="fleet")
def _(names):
    return fakes.Fleet(split_names(names))


@pytest_bdd.given(parsers.parse("an upstream {name}"), target_fixture="upstream")
def _(fleet, name):
    return fleet.add_upstream(name)


@pytest_bdd.given(parsers.parse("revision {revision:d} of the rules is published"))
@pytest_bdd.when(parsers.parse("revision {revision:d} of the rules is published"))
def _(fleet, revision):
    fleet.platform.publish_rules()
    assert fleet.platform.revision("rules") == revision


@pytest_bdd.given(parsers.parse("{seconds:d} s pass"))
@pytest_bdd.when(parsers.parse("{seconds:d} s pass"))
def _(fleet, seconds):
    fleet.run(seconds)


@pytest_bdd.when(parsers.parse("the platform is {state} for all but {name}"))
def _(fleet, state, name):
    for host in fleet.hosts_by_name.values():
        host.connection.down = state == "down" and host.name != name


@pytest_bdd.when(parsers.parse("the platform is {state} for all"))
def _(fleet, state):
    for host in fleet.hosts_by_name.values():
        host.connection.down = state == "down"


@pytest_bdd.when("watches end silently on every host")
def _(fleet):
    for host in fleet.hosts_by_name.values():
        host.connection.silent = True


@pytest_bdd.when("reads are stale on every host")
def _(fleet):
    for host in fleet.hosts_by_name.values():
        host.connection.stale = True


@pytest_bdd.when(parsers.parse("{name} restarts"))
def _(fleet, name):
    fleet.hosts_by_name[name].start()


@pytest_bdd.when(parsers.parse("{name} is frozen"), target_fixture="early_reply")
def _(fleet, name):
    host = fleet.hosts_by_name[name]
    host.frozen = True
    peer = next(
        other
        for other in fleet.hosts_by_name.values()
        if other.data_centre == host.data_centre and other is not host
    )
    return _state.PeerReply(peer.make_report(messages.HeartbeatReply), fleet.now)


@pytest_bdd.when(parsers.parse("{name} thaws"))
def _(fleet, name):
    fleet.hosts_by_name[name].frozen = False


@pytest_bdd.when(
    parsers.parse("an answer that {peer} gave {name} before its freeze arrives")
)
def _(fleet, name, early_reply):
    message = _actor.HeartbeatRoundEnded((), (early_reply,), fleet.now)
    fleet.hosts_by_name[name].handle_message(message)


@pytest_bdd.when(parsers.parse("{asker} asks {answerer}"))
def _(fleet, asker, answerer):
    fleet.exchange_heartbeats(asker, answerer)


@pytest_bdd.when(parsers.parse("{data_centre} is cut off from the other data centres"))
def _(fleet, data_centre):
    fleet.partition_network(
        host.name
        for host in fleet.hosts_by_name.values()
        if host.data_centre == data_centre
    )


@pytest_bdd.when(parsers.parse("{name} is cut off from everything"))
def _(fleet, name):
    fleet.partition_network([name])
    fleet.hosts_by_name[name].connection.down = True


@pytest_bdd.when("nothing is taken out")
def _(fleet):
    fleet.platform.publish_state()


@pytest_bdd.when(parsers.parse("{name} is taken out"))
def _(fleet, name):
    if name in fleet.platform.hosts.by_name:
        fleet.platform.publish_state(upstreams_out=[name])
    else:
        fleet.platform.publish_state(data_centres_out=[name])


@pytest_bdd.when(parsers.parse("{name} is listed as leaving"))
def _(fleet, name):
    host = fleet.platform.hosts.by_name[name]
    fleet.set_host(attrs.evolve(host, state=domain.HostState.LEAVING))


@pytest_bdd.when(parsers.parse("{name} is no longer listed"))
def _(fleet, name):
    fleet.remove_host(name)


@pytest_bdd.then(parsers.parse("every host is ready with revision {revision:d}"))
def _(fleet, revision):
    for host in fleet.hosts_by_name.values():
        assert host.view.configuration.revision == revision
        assert decisions.is_ready(host.view, fleet.now)


@pytest_bdd.then(parsers.parse("{name} has revision {revision:d}"))
def _(fleet, name, revision):
    assert fleet.hosts_by_name[name].view.configuration.revision == revision


@pytest_bdd.then(parsers.parse("{name} is not ready"))
def _(fleet, name):
    assert not decisions.is_ready(fleet.hosts_by_name[name].view, fleet.now)


@pytest_bdd.then(parsers.parse("{name} is ready"))
def _(fleet, name):
    assert decisions.is_ready(fleet.hosts_by_name[name].view, fleet.now)


@pytest_bdd.then(parsers.parse("no host sends new work to {name}"))
def _(fleet, upstream, name):
    assert list_senders(fleet, upstream) == []


@pytest_bdd.then(parsers.parse("every host sends new work to {name}"))
def _(fleet, upstream, name):
    assert list_senders(fleet, upstream) == list(fleet.hosts_by_name)


@pytest_bdd.then(parsers.parse("{first} takes no callers, {second} does"))
def _(fleet, first, second):
    is_ready_by_name = {
        host.name: decisions.is_ready_for_traffic(
            host.data_centre, host.view, fleet.now
        )
        for host in fleet.hosts_by_name.values()
    }
    assert (is_ready_by_name[first], is_ready_by_name[second]) == (False, True)


def list_senders(fleet, upstream):
    return [
        host.name
        for host in fleet.hosts_by_name.values()
        if decisions.is_upstream_eligible(upstream, host.view, fleet.now)
    ]
