import pytest

from sycamorespoke import checks, rules

ASKED = "  # asked by Salma: x"
SOUND = """\
deployment abrr
group desk kind=service
route bookings path=/bookings methods=POST group=desk idempotent=no
route lookups path=/bookings group=desk idempotent=yes
event race route=bookings start=2026-12-06T08:00:00+00:00 rate=5/s
"""
START_S = 1796544000.0


def find(text, wall_now=START_S - 60):
    lines = [line + ASKED for line in text.splitlines()]
    configuration = rules.parse("\n".join(lines))
    findings = checks.find_rules_findings(configuration, wall_now)
    return [(finding.kind, finding.subject) for finding in findings]


def test_nothing_is_found_in_sound_rules():
    assert find(SOUND) == []


@pytest.mark.parametrize(
    ("text", "found"),
    [
        (
            SOUND + "group spare kind=service\n",
            (checks.FindingKind.WITHOUT_EFFECT, "group spare"),
        ),
        (
            SOUND + "route more path=/bookings methods=GET group=desk idempotent=yes\n",
            (checks.FindingKind.NEVER_MATCHES, "route more"),
        ),
    ],
)
def test_an_entry_that_no_request_uses_is_found(text, found):
    assert find(text) == [found]


def test_retries_that_the_ratio_forbids_are_found():
    found = find(SOUND + "limit retry_ratio=0\n")
    kind = checks.FindingKind.CONTRADICTION
    assert found == [(kind, "route bookings"), (kind, "route lookups")]


def test_an_event_whose_start_has_passed_is_found():
    assert find(SOUND, START_S + 1) == [
        (checks.FindingKind.NEVER_MATCHES, "event race")
    ]
