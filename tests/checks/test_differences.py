import pytest

from sycamorespoke import checks, gateway, serving


def list_texts(before, after):
    return [str(each) for each in checks.list_differences(before, after)]


def test_equal_configurations_do_not_differ(make_entries):
    assert list_texts(make_entries(version=1), make_entries(version=2)) == []


def test_new_removed_and_changed_entries_are_listed(
    make_entries, make_route, make_service
):
    before = make_entries(routes=(make_route(name="old", path_prefix="/b/"),))
    after = make_entries(
        routes=(make_route(),),
        services=(make_service(connection_limit=9),),
        limits=serving.CallerLimits(body_bytes=10),
    )
    assert list_texts(before, after) == [
        "route old is removed",
        "route lookups is new",
        "service desk has another connection_limit: 8 before, 9 now",
        "limits has another body_bytes: 67108864 before, 10 now",
    ]


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"timeout_s": 2.5}, "timeout_s: 2 before, 2.5 now"),
        ({"kind": gateway.RouteKind.UNSAFE}, "kind: safe before, unsafe now"),
        ({"is_anonymous": True}, "is_anonymous: no before, yes now"),
        (
            {"weights_by_service": {"desk": 9.0, "b": 1.0}},
            "weights_by_service: desk 1 before, desk 9, b 1 now",
        ),
    ],
)
def test_a_changed_value_is_listed_with_the_one_before(
    make_entries, make_route, changes, text
):
    after = make_entries(routes=(make_route(**changes),))
    assert list_texts(make_entries(), after) == [f"route lookups has another {text}"]


def test_an_engine_that_is_new_is_listed_value_by_value(make_entries, make_service):
    engine = gateway.EngineSpec(slots=4, cache_tokens=100, token_bytes=10)
    after = make_entries(services=(make_service(engine=engine),))
    assert "service desk has another engine.slots: none before, 4 now" in list_texts(
        make_entries(), after
    )


def test_changed_keys_are_counted_and_not_printed(make_entries):
    entry = gateway.AccountEntry(gateway.Account("clerks"), ("secret-2", "secret-3"))
    assert list_texts(make_entries(), make_entries(accounts=(entry,))) == [
        "account clerks has other API keys: 1 removed, 2 added"
    ]


def test_the_need_of_keys_is_listed(make_entries):
    assert list_texts(make_entries(), make_entries(needs_key=False)) == [
        "need of API keys differs: yes before, no now"
    ]
