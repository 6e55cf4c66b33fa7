import pathlib

import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import settings

KEY = "ab" * 32
WHOLE = f"""\
name: seeb-entry-1
data_centre: seeb
listen: 127.0.0.1:8000
operators_listen: "[::1]:8100"
peer_listen: 127.0.0.1:0
platform: http://127.0.0.1:7000
shared_key: "{KEY}"
threads: 8
drain_s: 3
seeds: 127.0.0.1:8201, 127.0.0.1:8202
log_level: DEBUG
"""
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples" / "settings"


def test_parse_file_with_all_keys():
    assert settings.parse(WHOLE, settings.EntrySettings) == settings.EntrySettings(
        name="seeb-entry-1",
        data_centre="seeb",
        listen="127.0.0.1:8000",
        operators_listen="[::1]:8100",
        peer_listen="127.0.0.1:0",
        platform="http://127.0.0.1:7000",
        shared_key=KEY,
        threads=8,
        drain_s=3.0,
        seeds=("127.0.0.1:8201", "127.0.0.1:8202"),
        log_level="DEBUG",
    )


@pytest.mark.parametrize(
    ("file", "cls"),
    [
        ("entry.yaml", settings.EntrySettings),
        ("steward.yaml", settings.StewardSettings),
        ("operator.yaml", settings.OperatorSettings),
    ],
)
def test_load_accepts_example(file, cls):
    assert isinstance(settings.load(EXAMPLES / file, cls), cls)


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "cause"),
    [
        ("name: seeb-entry-1\n", "", 1, "name", "is missing"),
        ("name:", "nmae:", 1, "name", "is missing"),
        ("8202", "port", 10, "seeds", "not IP addresses and ports"),
        ("threads: 8", "threads: many", 8, "threads", "not a whole number"),
        ("threads: 8", "threads: true", 8, "threads", "not a whole number"),
        ("threads: 8", "threads: 0", 8, "threads", "out of range"),
        ("threads: 8", "threads: [8]", 8, "threads", "not a whole number"),
        ("threads: 8", "threads: !!int x", 8, "threads", "not a whole number"),
        ("threads: 8", "name: 8", 8, "name", "is already set in line 1"),
        ("drain_s: 3", "drain_s: .nan", 9, "drain_s", "not a number"),
        ("drain_s: 3", "drain_s: 3601", 9, "drain_s", "out of range"),
        ("name: seeb-entry-1", "name: 5", 1, "name", "not a string"),
        ("127.0.0.1:8000", "localhost:8000", 3, "listen", "not an IP address and port"),
        ("127.0.0.1:8000", "127.0.0.1", 3, "listen", "not an IP address and port"),
        (
            "127.0.0.1:8000",
            "127.0.0.1:65536",
            3,
            "listen",
            "not an IP address and port",
        ),
        ("http://127", "127", 6, "platform", "not a URL of an IP address and port"),
        (f'"{KEY}"', "1234", 7, "shared_key", "not a string"),
        (KEY, KEY[1:], 7, "shared_key", "not 64 hexadecimal digits"),
        ("log_level: DEBUG", "log_level: LOUD", 11, "log_level", "not a log level"),
        ("name:", "]name:", 1, "", "malformed YAML"),
        ("name:", '"\\UFFFFFFFF":', 1, "", "malformed YAML"),
        (WHOLE, "[" * 3000, 1, "", "malformed YAML"),
        (WHOLE, "- a", 1, "", "not a mapping"),
        (WHOLE, "? [a]\n: b", 1, "", "a key is not a scalar"),
    ],
)
def test_parse_reports_line_key_and_cause_of_fault(old, new, line, key, cause):
    faults = settings.parse(WHOLE.replace(old, new), settings.EntrySettings, "s")
    assert isinstance(faults, settings.Faults)
    fault = faults.items[0]
    assert (fault.file, fault.line, fault.key) == ("s", line, key)
    assert fault.cause.startswith(cause)
    assert fault.mend


def test_parse_reports_all_faults_of_a_file():
    text = "plattform: here\nauthor: 5\nshared_key: hunter2\n"
    faults = settings.parse(text, settings.OperatorSettings)
    assert [(fault.line, fault.key) for fault in faults.items] == [
        (1, "platform"),
        (1, "plattform"),
        (2, "author"),
        (3, "shared_key"),
    ]
    assert "hunter2" not in str(faults)


def test_settings_repr_does_not_contain_key():
    assert KEY not in repr(settings.parse(WHOLE, settings.EntrySettings))


@pytest.mark.parametrize("content", [None, b"\xff\xfe\xfa"])
def test_load_unreadable_file_returns_faults(tmp_path, content):
    path = tmp_path / "settings.yaml"
    if content is not None:
        path.write_bytes(content)
    result = settings.load(path, settings.OperatorSettings)
    assert isinstance(result, settings.Faults)


FRAGMENTS = st.sampled_from(
    [*WHOLE.split(), "\n", ": ", "- ", "&a", "*a", "!!timestamp", "!!int", "[", "{"]
    + ["}", "]", "? ", "| ", "%YAML 1.1", "---", "<<: ", "2001-99-99", "0x_", "\t"]
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(st.one_of(st.text(), st.lists(FRAGMENTS).map("".join)))
def test_parse_arbitrary_text(text):
    result = settings.parse(text, settings.EntrySettings)
    assert isinstance(result, settings.Faults)
    assert all(fault.line >= 1 for fault in result.items)
    assert all(fault.cause and fault.mend for fault in result.items)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.integers(0, len(WHOLE) - 1), st.integers(0, 12), st.text(max_size=5)
)
def test_parse_damaged_text(start, length, inserted):
    text = WHOLE[:start] + inserted + WHOLE[start + length :]
    result = settings.parse(text, settings.EntrySettings)
    assert isinstance(result, settings.EntrySettings | settings.Faults)
