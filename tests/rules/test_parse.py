import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import domain, rules

HASH = domain.hash_api_key("demo")
WHOLE = f"""\
# Al Batinah Race Registry

deployment abrr time_to_first_token=1.0 recomputed=0.2 link=0.1  # asked by Salma: queue
data-centre seeb weight=1 loads_at_once=2  # asked by Salma: weight store
data-centre ruwi  # asked by Salma: spare
link seeb ruwi bandwidth=200MB/s delay=1ms  # asked by Borrón: measured: twice
group scribe kind=model model=scribe version=v1 limit=8 cold_limit=2 warm_up=5s \
prefill=20000 fencing=checked echo=yes resume=yes cancel=no  # asked by Salma: x
group bibdesk kind=service limit=32  # asked by Salma: bibs
route chat model=scribe group=scribe idempotent=yes deadline=30s retries=2  \
# asked by Salma: x
route bibs path=/bibs methods=POST group=bibdesk idempotent=no deadline=5s  \
# asked by Salma: x
account clubs key=sha256:{HASH} share=3 rate=50/s concurrency=20 priority=5  \
# asked by Salma: x
limit queue_wait=2s queue_length=1000 body=4MB retry_ratio=0.1  # asked by Salma: x
event race-morning route=chat start=2026-12-04T05:00:00+04:00 rate=40/s  \
# asked by Salma: x
"""
ASKED = "  # asked by Salma: x"
BASE = f"deployment abrr{ASKED}\n"
GROUP = f"group bibdesk kind=service{ASKED}\n"


def test_parse_file_with_all_keywords():
    configuration = rules.parse(WHOLE)
    assert configuration == domain.Configuration(
        deployment="abrr",
        cost_weights=domain.CostWeights(1.0, 0.2, 0.1),
        limits=domain.Limits(2.0, 1000, 4000000, 0.1),
        data_centres_by_name={
            "seeb": domain.DataCentre("seeb", 1.0, 2),
            "ruwi": domain.DataCentre("ruwi"),
        },
        links_by_ends={
            ("ruwi", "seeb"): domain.Link(("ruwi", "seeb"), 200e6, 0.001),
        },
        groups_by_name={
            "scribe": domain.UpstreamGroup(
                "scribe",
                domain.UpstreamKind.MODEL,
                domain.Contract(checks_fencing=True, cancels=False),
                "scribe",
                "v1",
            ),
            "bibdesk": domain.UpstreamGroup(
                "bibdesk", domain.UpstreamKind.SERVICE, limit=32
            ),
        },
        routes_by_name={
            "chat": domain.Route("chat", "scribe", model="scribe"),
            "bibs": domain.Route(
                "bibs",
                "bibdesk",
                path="/bibs",
                methods=("POST",),
                idempotent=False,
                deadline_s=5.0,
            ),
        },
        accounts_by_name={
            "clubs": domain.ClientAccount("clubs", HASH, 3.0, 50.0, 20, 5)
        },
        events_by_name={
            "race-morning": domain.Event("race-morning", "chat", 1796346000.0, 40.0)
        },
    )


@pytest.mark.parametrize(
    ("line", "line_number", "column", "cause"),
    [
        ("data-centre seeb", 2, 17, "the asked-by comment is missing or incomplete"),
        ("data-centre seeb # asked by :x", 2, 18, "the asked-by comment is missing"),
        (
            "data-centre seeb # asked by Salma:",
            2,
            18,
            "the asked-by comment is missing",
        ),
        (f"zone seeb{ASKED}", 2, 1, "unknown keyword"),
        (f"data-centre{ASKED}", 2, 12, "a name is missing"),
        (f"data-centre se/eb{ASKED}", 2, 13, "not a name"),
        (f"data-centre seeb wait=1{ASKED}", 2, 18, "unknown word 'wait'"),
        (f"data-centre seeb weight{ASKED}", 2, 18, "not of the form word=value"),
        (f"data-centre seeb weight=0{ASKED}", 2, 25, "weight: the number is out of"),
        (f"data-centre seeb weight=101{ASKED}", 2, 25, "weight: the number is out of"),
        (f"data-centre seeb weight=nan{ASKED}", 2, 25, "weight: not a number"),
        (f"data-centre seeb weight=1 weight=1{ASKED}", 2, 27, "weight is given twice"),
        (f"data-centre seeb loads_at_once=1.5{ASKED}", 2, 32, "loads_at_once: not a"),
        (
            f"data-centre a{ASKED}\ndata-centre a{ASKED}",
            3,
            1,
            "data-centre a is already",
        ),
        (f"deployment other{ASKED}", 2, 1, "deployment is already defined in line 1"),
        (f"limit{ASKED}\nlimit{ASKED}", 3, 1, "limit is already defined in line 2"),
        (
            f"data-centre a{ASKED}\nlink a b{ASKED}",
            3,
            8,
            "data-centre b is not defined",
        ),
        (f"group g kind=model model=m{ASKED}", 2, 9, "a group of kind model has no"),
        (f"group g kind=service model=m{ASKED}", 2, 22, "a group of kind service"),
        (f"group g kind=service limit=1{ASKED}", 2, 22, "cold_limit 2 is above limit"),
        (f"group g{ASKED}", 2, 1, "kind is missing"),
        (
            f"route r path=/r group=g idempotent=no{ASKED}",
            2,
            23,
            "group g is not defined",
        ),
        (
            f"event e route=r rate=1/s start=2026-12-04T05:00:00{ASKED}",
            2,
            15,
            "route r is not defined",
        ),
        (
            f"event e rate=1/s route=r start=soon{ASKED}",
            2,
            24,
            "route r is not defined",
        ),
        (f"group g kind=model model=m version=v prefill=0{ASKED}", 2, 46, "prefill"),
        (f"limit queue_wait=601s{ASKED}", 2, 18, "queue_wait: the number is out"),
        (f"limit queue_wait=2kg{ASKED}", 2, 18, "queue_wait: not a number"),
        ("limit\x1b[2J", 2, 6, "a control character"),
    ],
)
def test_parse_reports_position_and_cause_of_fault(line, line_number, column, cause):
    faults = rules.parse(BASE + line, file="r")
    assert isinstance(faults, rules.Faults)
    fault = faults.items[0]
    assert (fault.file, fault.line, fault.column) == ("r", line_number, column)
    assert fault.cause.startswith(cause)
    assert fault.mend


@pytest.mark.parametrize(
    ("words", "cause"),
    [
        ("group=bibdesk idempotent=no", "a route needs either a model or a path"),
        ("path=/b group=bibdesk", "idempotent is missing"),
        ("model=m group=bibdesk idempotent=no", "a route with model= uses a group"),
        ("path=/v1/x group=bibdesk idempotent=no", "path: the path is reserved"),
        ("path=/b methods=post group=bibdesk idempotent=no", "methods: not a list"),
    ],
)
def test_parse_reports_fault_of_route(words, cause):
    faults = rules.parse(f"{BASE}{GROUP}route r {words}{ASKED}")
    assert faults.items[0].cause.startswith(cause)


def test_parse_reports_all_faults_of_a_file():
    text = "data-centre seeb weight=0\nroute r\nlink a b\n"
    faults = rules.parse(text)
    assert [(fault.line, fault.column) for fault in faults.items] == [
        (1, 1),
        (1, 25),
        (1, 26),
        (2, 1),
        (2, 1),
        (2, 1),
        (2, 8),
        (3, 6),
        (3, 8),
        (3, 9),
    ]


@pytest.mark.parametrize("key", ["hunter2", "sha256:hunter2", "sha256:" + "A" * 64])
@pytest.mark.accounts
def test_parse_faults_do_not_contain_api_key(key):
    faults = rules.parse(f"{BASE}account clubs key={key} hunter2{ASKED}")
    assert [fault.cause for fault in faults.items] == [
        "key: the key is not a SHA-256 hash",
        "not of the form word=value",
    ]
    assert "hunter2" not in str(faults)


def test_parse_rejects_key_hash_of_two_accounts():
    line = f"key=sha256:{HASH}{ASKED}\n"
    faults = rules.parse(f"{BASE}account a {line}account b {line}")
    assert [fault.cause for fault in faults.items] == [
        "the same key hash is already defined in line 2"
    ]


def test_parse_rejects_overlapping_routes():
    route = f"path=/b group=bibdesk idempotent=no methods=GET,POST{ASKED}\n"
    faults = rules.parse(f"{BASE}{GROUP}route a {route}route b {route}")
    assert [fault.cause for fault in faults.items] == [
        "a route of /b for GET is already defined in line 3",
        "a route of /b for POST is already defined in line 3",
    ]


FRAGMENTS = st.sampled_from(WHOLE.split() + ["\n", "=", "#", "\t", "1e9", "9" * 30])


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(st.one_of(st.text(), st.lists(FRAGMENTS).map(" ".join)))
def test_parse_arbitrary_text(text):
    result = rules.parse(text)
    assert isinstance(result, domain.Configuration | rules.Faults)
    if isinstance(result, rules.Faults):
        assert all(fault.line >= 1 and fault.column >= 1 for fault in result.items)
        assert all(fault.cause and fault.mend for fault in result.items)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.integers(0, len(WHOLE) - 1), st.integers(0, 12), st.text(max_size=5)
)
def test_parse_damaged_text(start, length, inserted):
    text = WHOLE[:start] + inserted + WHOLE[start + length :]
    assert isinstance(rules.parse(text), domain.Configuration | rules.Faults)
