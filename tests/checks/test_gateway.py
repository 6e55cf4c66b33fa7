"""Each check of a gateway's configuration, on the configuration that shows it."""

import pytest

from sycamorespoke import checks, gateway, serving

Kind = checks.FindingKind
ENGINE = gateway.EngineSpec(slots=4, cache_tokens=1000, token_bytes=10)
STORE = gateway.BlockStore("10.0.0.1:80", "z", 1000, 1e9, 0.0, True)


def find(entries, in_force=None):
    """Return kind and subject of each finding."""
    findings = checks.find_gateway_findings(entries, in_force)
    return [(finding.kind, finding.subject) for finding in findings]


def test_nothing_is_found_in_a_sound_configuration(make_entries):
    assert find(make_entries()) == []


def test_the_later_of_two_routes_with_one_host_and_prefix_never_matches(
    make_entries, make_route
):
    hidden = make_route(name="hidden", host="A.EXAMPLE")
    entries = make_entries(routes=(make_route(), hidden))
    assert find(entries) == [(Kind.NEVER_MATCHES, "route hidden")]
    # The check agrees with the gateway.
    found = entries.build().find_route("a.example", "/lookups/x")
    assert found.name == "lookups"


def test_a_route_with_a_longer_prefix_is_not_hidden(make_entries, make_route):
    longer = make_route(name="longer", path_prefix="/lookups/all/")
    assert find(make_entries(routes=(make_route(), longer))) == []


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"host": ""}, Kind.NEVER_MATCHES),
        ({"host": "a.example:80"}, Kind.NEVER_MATCHES),
        ({"path_prefix": "lookups/"}, Kind.NEVER_MATCHES),
        ({"path_prefix": "/look ups/"}, Kind.NEVER_MATCHES),
        ({"path_prefix": "/lookups?x/"}, Kind.NEVER_MATCHES),
        ({"path_prefix": "/lookups"}, Kind.CONTRADICTION),
        ({"weights_by_service": {"desk": 1.0, "gone": 1.0}}, Kind.UNDEFINED),
        ({"weights_by_service": {"desk": 0.0}}, Kind.CONTRADICTION),
        ({"timeout_s": 0.4}, Kind.CONTRADICTION),
        ({"timeout_s": 0.0, "target_latency_s": 0.0}, Kind.CONTRADICTION),
        ({"kind": gateway.RouteKind.STREAM, "event_gap_s": 3.0}, Kind.CONTRADICTION),
        ({"event_gap_s": 0.3}, Kind.WITHOUT_EFFECT),
        ({"is_resumable": True}, Kind.WITHOUT_EFFECT),
        ({"carries_prompt": True}, Kind.WITHOUT_EFFECT),
    ],
)
def test_a_route_that_cannot_be_meant_is_found(make_entries, make_route, changes, kind):
    entries = make_entries(routes=(make_route(**changes),))
    assert find(entries) == [(kind, "route lookups")]


def test_a_weight_of_0_beside_others_is_found(make_entries, make_route, make_service):
    route = make_route(weights_by_service={"desk": 1.0, "spare": 0.0})
    services = (make_service(), make_service(name="spare"))
    entries = make_entries(routes=(route,), services=services)
    assert find(entries) == [(Kind.WITHOUT_EFFECT, "route lookups")]


def test_a_route_to_a_block_store_is_found(make_entries, make_service):
    entries = make_entries(services=(make_service(store=STORE),))
    assert find(entries) == [(Kind.CONTRADICTION, "route lookups")]


def test_an_anonymous_route_is_found_where_no_route_needs_a_key(
    make_entries, make_route
):
    routes = (make_route(is_anonymous=True),)
    assert find(make_entries(routes=routes)) == []
    entries = make_entries(routes=routes, accounts=(), needs_key=False)
    assert find(entries) == [(Kind.WITHOUT_EFFECT, "route lookups")]


@pytest.mark.parametrize("label", ["route", "service", "account"])
def test_two_entries_with_one_name_are_found(make_entries, make_route, label):
    sound = make_entries()
    repeated_by_label = {
        "route": {"routes": (*sound.routes, make_route(path_prefix="/b/"))},
        "service": {"services": sound.services * 2},
        "account": {
            "accounts": (
                *sound.accounts,
                gateway.AccountEntry(gateway.Account("clerks"), ("key-2",)),
            )
        },
    }
    name = {"route": "lookups", "service": "desk", "account": "clerks"}[label]
    entries = make_entries(**repeated_by_label[label])
    assert find(entries) == [(Kind.AMBIGUOUS, f"{label} {name}")]


def test_a_service_that_no_route_uses_is_found(make_entries, make_service):
    services = (
        make_service(),
        make_service(name="old"),
        gateway.Service("kept", store=STORE),
    )
    entries = make_entries(services=services)
    assert find(entries) == [(Kind.WITHOUT_EFFECT, "service old")]


@pytest.mark.parametrize(
    "changes",
    [
        {"cold_requests_per_s": 0.0},
        {"engine": gateway.EngineSpec(0, 1000, 10)},
        {"engine": gateway.EngineSpec(4, 0, 10)},
        {"engine": gateway.EngineSpec(4, 1000, 0)},
        {"engine": gateway.EngineSpec(9, 1000, 10)},
    ],
)
def test_limits_of_a_service_that_contradict_each_other_are_found(
    make_entries, make_service, changes
):
    entries = make_entries(services=(make_service(**changes),))
    assert find(entries) == [(Kind.CONTRADICTION, "service desk")]


def test_a_service_without_a_connection_limit_has_no_contradiction(
    make_entries, make_service
):
    service = make_service(connection_limit=0, engine=ENGINE)
    assert find(make_entries(services=(service,))) == []


@pytest.mark.parametrize(
    ("services", "found"),
    [
        (
            (gateway.Service("a", store=STORE), gateway.Service("b", store=STORE)),
            [(Kind.AMBIGUOUS, "service b")],
        ),
        (
            (
                gateway.Service(
                    "a", store=gateway.BlockStore("10.0.0.2:80", "z", 0, 0.0, 0.0, True)
                ),
            ),
            [(Kind.CONTRADICTION, "service a")] * 2,
        ),
        (
            (gateway.Service("a", engine=ENGINE, store=STORE),),
            [(Kind.CONTRADICTION, "service a")],
        ),
    ],
)
def test_block_stores_that_cannot_be_used_are_found(
    make_entries, make_service, services, found
):
    entries = make_entries(services=(make_service(), *services))
    assert find(entries) == found


def test_a_key_of_two_accounts_is_found_and_not_printed(make_entries):
    accounts = tuple(
        gateway.AccountEntry(gateway.Account(name), ("other-" + name, "secret"))
        for name in ("clerks", "runners")
    )
    (finding,) = checks.find_gateway_findings(make_entries(accounts=accounts))
    assert (finding.kind, finding.subject) == (Kind.AMBIGUOUS, "account runners")
    assert "account clerks" in finding.text
    assert "secret" not in str(finding)


def test_a_key_that_an_account_has_twice_is_found(make_entries):
    entry = gateway.AccountEntry(gateway.Account("clerks"), ("key-1", "key-1"))
    entries = make_entries(accounts=(entry,))
    assert find(entries) == [(Kind.AMBIGUOUS, "account clerks")]


@pytest.mark.parametrize("key", ["", "two words", "k\n"])
def test_a_key_that_no_caller_can_send_is_found(make_entries, key):
    entry = gateway.AccountEntry(gateway.Account("clerks"), ("key-1", key))
    entries = make_entries(accounts=(entry,))
    assert find(entries) == [(Kind.NEVER_MATCHES, "account clerks")]


def test_accounts_without_any_key_are_found(make_entries, make_route):
    entry = gateway.AccountEntry(gateway.Account("clerks"))
    unused = (Kind.WITHOUT_EFFECT, "account clerks")
    assert find(make_entries(accounts=(entry,))) == [
        unused,
        (Kind.CONTRADICTION, "accounts"),
    ]
    routes = (make_route(is_anonymous=True),)
    assert find(make_entries(accounts=(entry,), routes=routes)) == [unused]


def test_a_header_limit_above_the_body_limit_is_found(make_entries):
    limits = serving.CallerLimits(header_bytes=101, body_bytes=100)
    assert find(make_entries(limits=limits)) == [(Kind.CONTRADICTION, "limits")]


def test_a_header_time_above_the_idle_time_is_found(make_entries):
    limits = serving.CallerLimits(idle_s=10.0, header_s=10.5)
    assert find(make_entries(limits=limits)) == [(Kind.CONTRADICTION, "limits")]
    limits = serving.CallerLimits(idle_s=10.0, header_s=10.0)
    assert find(make_entries(limits=limits)) == []


def test_a_limit_that_is_not_stated_contradicts_none(make_entries):
    assert find(make_entries(limits=serving.CallerLimits(body_bytes=100))) == []


@pytest.mark.parametrize(("version", "is_found"), [(4, True), (5, True), (3, False)])
def test_a_version_that_hosts_would_not_adopt_is_found(make_entries, version, is_found):
    in_force = make_entries(version=version)
    expected = [(Kind.NOT_NEWER, "version 4")] if is_found else []
    assert find(make_entries(), in_force) == expected
