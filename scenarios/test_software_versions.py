"""Completions before engines of two software versions."""

import json

import pytest

from sycamorespoke import standins

pytestmark = [pytest.mark.processes, pytest.mark.whole_answers]

COMPLETIONS = 12
TOKENS = 8


def make_engine(software_version):
    return standins.EngineOptions(
        warm_up_s=0.0, token_s=0.005, software_version=software_version
    )


def send_completions(make_deployment, *software_versions):
    """Send completions; the first engine cuts each after three tokens.

    Returns
    -------
    list of dict
        Line of each completion in the entry host's log.
    """
    engines = {
        f"scribe-{number}": ("seeb", make_engine(version))
        for number, version in enumerate(software_versions, 1)
    }
    cluster = make_deployment(engines, {}, {"entry-1": "seeb"})
    cluster.start()
    cluster.set_faults("scribe-1", cut_after_tokens=3)
    for number in range(COMPLETIONS):
        cluster.send_completion("entry-1", f"prompt {number}", max_tokens=TOKENS)
    entry = cluster.entries_by_name["entry-1"]
    lines = map(json.loads, entry.log_path.read_text().splitlines())
    return [line for line in lines if line["event"] == "completion ended"]


@pytest.mark.parametrize("versions", [("1.0", "2.0"), ("1.0", ""), ("", "")])
def test_completion_does_not_go_on_at_another_or_unknown_software_version(
    make_deployment, versions
):
    ended = send_completions(make_deployment, *versions)
    assert len(ended) == COMPLETIONS
    broken = [line for line in ended if line["error_kind"]]
    whole = [line for line in ended if not line["error_kind"]]
    assert broken
    assert {line["attempts"] for line in whole} == {1}
    assert {line["completion_tokens"] for line in whole} == {TOKENS}


def test_completion_goes_on_at_the_same_software_version(make_deployment):
    ended = send_completions(make_deployment, "1.0", "1.0")
    assert [line["error_kind"] for line in ended] == [None] * COMPLETIONS
    assert max(line["attempts"] for line in ended) > 1
