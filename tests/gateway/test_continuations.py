import pytest

from sycamorespoke import domain
from sycamorespoke.gateway import _continuations, _requests


@pytest.mark.parametrize(
    ("status", "is_event_stream", "kind"),
    [
        (200, True, None),
        (200, False, domain.ErrorKind.ANSWER_MISMATCH),
        (204, False, domain.ErrorKind.UPSTREAM_REFUSED),
        (206, True, domain.ErrorKind.UPSTREAM_REFUSED),
        (302, False, domain.ErrorKind.UPSTREAM_REFUSED),
        (404, True, domain.ErrorKind.UPSTREAM_REFUSED),
        (429, False, domain.ErrorKind.UPSTREAM_REFUSED),
        (500, True, domain.ErrorKind.UPSTREAM_REFUSED),
    ],
)
@pytest.mark.parametrize("framing", _requests.Framing)
def test_only_plain_streams_of_events_are_joined(
    status, is_event_stream, kind, framing
):
    head = _requests.ResponseHead(
        status, "", (), framing, is_event_stream=is_event_stream
    )
    bar = _continuations.find_bar(head)
    assert (bar and bar.kind) is kind
