import hypothesis
from hypothesis import strategies as st

from sycamorespoke import domain, rules

NAMES = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,5}", fullmatch=True)


def numbers(low, high):
    # Rules files allow 20 decimal places, fewer than the smallest floats need.
    return st.decimals(low, high, places=9).map(float)


SECONDS = numbers("0.01", 600)
COSTS = numbers(0, 1000)


@st.composite
def configurations(draw):
    centres = draw(
        st.dictionaries(
            NAMES, st.tuples(numbers("0.01", 100), st.integers(1, 100)), min_size=1
        )
    )
    ends = [domain.link_key(min(centres), name) for name in centres]
    hashes = draw(st.lists(st.binary(min_size=32, max_size=32), unique=True))
    contract = draw(st.builds(domain.Contract, *[st.booleans()] * 4))
    groups = {
        "m": domain.UpstreamGroup(
            "m",
            domain.UpstreamKind.MODEL,
            contract,
            "model",
            "v1",
            draw(st.integers(9, 10000)),
            draw(st.integers(1, 9)),
            draw(numbers("0", 3600)),
            draw(numbers("0.001", 1000000000)),
        ),
        "s": domain.UpstreamGroup("s", domain.UpstreamKind.SERVICE),
    }
    routes = {
        "chat": domain.Route("chat", "m", model="model", deadline_s=draw(SECONDS)),
        "book": domain.Route(
            "book", "s", "/book", methods=("POST", "PUT"), idempotent=False
        ),
    }
    start_s = float(draw(st.integers(0, 4_000_000_000)))
    return domain.Configuration(
        deployment=draw(NAMES),
        cost_weights=draw(st.builds(domain.CostWeights, COSTS, COSTS, COSTS)),
        limits=domain.Limits(
            draw(SECONDS),
            draw(st.integers(1, 100000)),
            draw(st.integers(1024, 1073741824)),
            draw(numbers("0", 1)),
        ),
        data_centres_by_name={
            name: domain.DataCentre(name, *values) for name, values in centres.items()
        },
        links_by_ends={
            key: domain.Link(
                key, draw(numbers("0.1", 1000000000000)), draw(numbers("0", 1))
            )
            for key in ends
        },
        groups_by_name=groups,
        routes_by_name=routes,
        accounts_by_name={
            f"a{number}": domain.ClientAccount(f"a{number}", digest.hex())
            for number, digest in enumerate(hashes)
        },
        events_by_name={"race": domain.Event("race", "chat", start_s, 0.5)},
    )


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(configurations())
def test_format_round_trip(configuration):
    text = rules.format_rules(configuration, "Salma", "race morning")
    assert rules.parse(text) == configuration
