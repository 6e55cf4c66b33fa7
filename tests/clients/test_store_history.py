"""What is logged of the history of a store."""

import loguru
import pytest

from sycamorespoke import clients, domain


@pytest.fixture
def events():
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line.record), level="INFO")
    yield lines
    loguru.logger.remove(sink)


def list_messages(events):
    return [record["message"] for record in events]


def test_first_era_is_no_change_of_it(events):
    history = clients.StoreHistory()
    history.record_era(4, 10.0)
    history.record_era(4, 10.0)
    assert (history.era, history.era_changes) == (4, 0)
    assert list_messages(events) == []


def test_rise_of_the_era_is_logged_and_an_older_response_is_not(events):
    history = clients.StoreHistory()
    for era in (4, 5, 4):
        history.record_era(era, 10.0)
    assert (history.era, history.era_changes) == (5, 1)
    (record,) = events
    assert record["message"] == "store is back from an older copy"
    assert (record["extra"]["era_before"], record["extra"]["era"]) == (4, 5)


def test_lower_revision_within_an_era_is_logged(events):
    history = clients.StoreHistory()
    history.record_revision(domain.make_revision(1, 90), history.revision)
    before = history.revision
    assert history.record_revision(domain.make_revision(1, 80), before)
    assert history.record_revision(domain.make_revision(1, 81), before)
    assert not history.record_revision(domain.make_revision(2, 70), before)
    assert list_messages(events) == ["store went back within an era"]
    assert history.revision == domain.make_revision(2, 70)


def test_history_that_the_store_lacks_is_counted(events):
    history = clients.StoreHistory()
    history.record_gone("servers", 12)
    assert history.gone_count == 1
    assert list_messages(events) == ["store lacks the changes since a revision"]


def test_era_is_seen_when_a_response_first_states_it():
    history = clients.StoreHistory()
    history.record_era(4, 10.0)
    history.record_era(4, 20.0)
    assert history.era_seen_s == 10.0
    history.record_era(5, 30.0)
    assert history.era_seen_s == 30.0
