"""Blocks that accounts leave in the caches, before and after they are isolated."""

import collections

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import (
    _blocks,
    _chooser,
    _dispatcher,
    _model,
    _requests,
    _retirement,
    _task_messages,
    _views,
)
from tests.fakes import in_process_gateway
from tests.gateway import test_retirement

UPSTREAM = _model.Upstream("i-1", 1, "s", "127.0.0.1:9", "dc-1")
NAMES = ("a", "b", "c")
PROMPT = _requests.Prompt("m", (_requests.PromptBlock("aa", 100),), 100, 3)
ISOLATED_SETS = strategies.frozensets(strategies.sampled_from(NAMES))


def make_configuration(version, isolated):
    accounts = {
        f"key-{name}": _model.Account(name, is_isolated=name in isolated)
        for name in NAMES
    }
    return _model.Configuration(
        version,
        in_process_gateway.ROUTES,
        {"s": _model.Service("s")},
        accounts,
        needs_key=True,
        isolated_accounts=frozenset(isolated),
    )


@pytest.fixture
def host(harness):
    """A host whose scopes can be asked for, configuration by configuration."""
    return ScopedHost(harness.start_gateway().gateway)


class ScopedHost:
    def __init__(self, gateway):
        self.gateway = gateway

    def start_again(self):
        """Forget all configurations, as a host that is started again."""
        self.gateway.views.replace_fields(configuration=None)

    def configure(self, isolated):
        known = self.gateway.views.get().configuration
        version = known.version + 1 if known else 1
        self.gateway.views.set_configuration(make_configuration(version, isolated))

    def make_dispatcher(self, name):
        """Begin a request of an account, which may be dispatched later."""
        configuration = self.gateway.views.get().configuration
        account = configuration.accounts_by_key[f"key-{name}"] if name else None
        now = serving.read_clock()
        request = _requests.Request(
            id="call-1",
            host=in_process_gateway.HOST,
            method="POST",
            target="/stream/x",
            headers=(),
            body=b"",
            arrived_s=now,
            prompt=PROMPT,
        )
        route = in_process_gateway.make_route("stream", _model.RouteKind.STREAM)
        return _dispatcher.Dispatcher(self.gateway, request, route, account, now + 9.0)

    def find_scope(self, name, isolated=None):
        if isolated is not None:
            self.configure(isolated)
        return find_scope(self.make_dispatcher(name))


def find_scope(dispatcher):
    choice = _chooser.Choice(UPSTREAM, 2, 8)
    return dispatcher.build(choice, None).cache_scope


def test_blocks_from_before_an_account_was_isolated_are_in_no_scope_of_others(host):
    # Review, case 1: the shared scope was the same before and after.
    before = host.find_scope("a", isolated=())
    assert host.find_scope("b") == before
    assert host.find_scope("a", isolated={"a"}) != before
    assert host.find_scope("b") != before
    assert host.find_scope(None) != before
    assert host.find_scope("b") == host.find_scope("c")


@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            ISOLATED_SETS, strategies.sampled_from(NAMES), strategies.none()
        ),
        max_size=20,
    )
)
@hypothesis.settings(
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_no_request_shares_a_scope_with_one_of_an_isolated_account(host, steps):
    host.start_again()
    host.configure(())
    isolated = frozenset()
    makers_by_scope = collections.defaultdict(set)
    for step in steps:
        if step is None:
            # Another host, which has the latest configuration only.
            host.start_again()
            host.configure(isolated)
        elif isinstance(step, frozenset):
            isolated = step
            host.configure(isolated)
        else:
            makers = makers_by_scope[host.find_scope(step)]
            assert makers <= {step} or step not in isolated
            assert not (makers - {step}) & isolated
            makers.add(step)


def test_request_that_waited_over_the_change_leaves_nothing_to_others(host):
    host.configure(())
    waiting = host.make_dispatcher("a")
    host.configure({"a"})
    assert find_scope(waiting) == host.find_scope("a")
    assert find_scope(waiting) != host.find_scope("b")


def test_request_of_an_account_isolated_no_longer_stays_private(host):
    host.configure({"a"})
    waiting = host.make_dispatcher("a")
    host.configure(())
    assert find_scope(waiting) != host.find_scope("b")


def test_isolated_account_without_a_key_is_excluded_too(host):
    before = host.find_scope("b", isolated=())
    configuration = make_configuration(9, {"a"})
    accounts = {"key-b": configuration.accounts_by_key["key-b"]}
    without_key = attrs.evolve(configuration, accounts_by_key=accounts)
    host.gateway.views.set_configuration(without_key)
    assert host.find_scope("b") != before


def test_without_isolated_accounts_scopes_are_as_in_earlier_builds(host):
    assert host.find_scope("a", isolated=()) == "v2 m"
    assert host.find_scope("a", isolated={"a"}) == "v2 m a"


def make_views(isolated, confirmed_s):
    views = _views.Views()
    views.set_configuration(make_configuration(1, isolated))
    views.replace_fields(targets_by_model={})
    views.confirm(_views.CONFIGURATION, confirmed_s)
    return views


def make_shared_scope(isolated):
    exclusion = decisions.compute_exclusion(isolated)
    return decisions.BlockScope("m", 2, exclusion=exclusion).text


class StoreOfTwoScopes:
    """A block store with blocks from before and after the account a was isolated."""

    def __init__(self):
        self.old = make_shared_scope(())
        self.new = make_shared_scope({"a"})
        keys = ((self.old, "p"), (self.new, "p"), ("v2 m a", "p"), ("v2 m b", "p"))
        self.index = test_retirement.make_index(*keys)
        self.blocks = _blocks.BlockPlanner(client=None)
        self.blocks._indexes_by_address[test_retirement.STORE.address] = self.index


class _HeldLease:
    def must_hand_over(self, now):
        return False

    def set_idle(self):
        pass

    def try_acquire(self, text, now):
        return True

    def is_held(self):
        return True


def retire(store, views, client, now):
    actor = _retirement.Retirement.start(_HeldLease(), views, store.blocks, client)
    try:
        actor.ask(_task_messages.Tick(now), timeout=5.0)
    finally:
        actor.stop()


@pytest.mark.parametrize(
    ("age_s", "confirmed_age_s", "is_freed"),
    [(61.0, 0.0, True), (59.0, 0.0, False), (61.0, 4.0, False)],
)
def test_blocks_of_scopes_that_nobody_uses_are_freed(age_s, confirmed_age_s, is_freed):
    store, client = StoreOfTwoScopes(), test_retirement.StoreClient()
    now = serving.read_clock()
    views = make_views({"a"}, now - confirmed_age_s)
    store.blocks.exclusion_age.measure_s(views.get().configuration, now - age_s)
    retire(store, views, client, now)
    freed = {key for _, keys, _ in client.freed for key in keys}
    assert freed == ({(store.old, "p"), ("v2 m b", "p")} if is_freed else set())


def test_stored_blocks_are_not_used_while_another_host_may_be_freeing_them():
    store = StoreOfTwoScopes()
    now = serving.read_clock()
    view = make_views({"a"}, now).get()
    assert not store.blocks.may_use_stores(view, now)
    assert store.blocks.may_use_stores(view, now + 6.5)
    store.index.remove([(store.old, "p"), ("v2 m b", "p")])
    assert store.blocks.may_use_stores(make_views((), now).get(), now) is False
    assert store.blocks.may_use_stores(make_views({"a"}, now).get(), now)


def test_stored_blocks_are_not_used_under_an_old_configuration():
    store = StoreOfTwoScopes()
    now = serving.read_clock()
    view = make_views({"a"}, now - 11.0).get()
    store.blocks.may_use_stores(view, now - 30.0)
    assert not store.blocks.may_use_stores(view, now)
