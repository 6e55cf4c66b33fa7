"""The platform comes back from an older copy and gives versions out again."""

import pytest

from sycamorespoke import clients, domain, standins


class Deployment:
    """A stand-in, a client that knows of its first era, and one that writes."""

    def __init__(self, handle):
        self.standin = handle.standin
        self.url = handle.url
        self.client = clients.PlatformClient(handle.url)
        self.writer = clients.PlatformClient(handle.url)
        self.writer.put("rules", "old", 0)
        self.older = self.standin.copy()
        self.known = self.write("lost")

    def write(self, value):
        return self.writer.put("rules", value, self.writer.get("rules").version)

    def come_back(self):
        """Give the version of ``"lost"`` to ``"new"``, which the client knows not."""
        self.standin.restore(self.older)
        self.writer = clients.PlatformClient(self.url)
        return self.write("new")


@pytest.fixture
def deployment():
    handle = standins.run_in_thread(standins.PlatformStandin())
    yield Deployment(handle)
    handle.close()


def test_version_given_out_again_is_a_later_version(deployment):
    again = deployment.come_back()
    assert domain.get_number(again.version) == domain.get_number(
        deployment.known.version
    )
    assert again.version > deployment.known.version
    assert deployment.client.get("rules").version == again.version
    assert deployment.client.list("ru") == {"rules": again.version}


@pytest.mark.parametrize("is_era_known", [False, True])
def test_watch_on_version_of_earlier_era_returns_current_object(
    deployment, is_era_known
):
    again = deployment.come_back()
    if is_era_known:
        deployment.client.get("rules")
    result = deployment.client.watch("rules", deployment.known.version, 0.2)
    assert result == clients.StoredObject("new", again.version)


def test_write_to_version_of_earlier_era_is_a_conflict_without_a_call(deployment):
    deployment.come_back()
    deployment.client.get("rules")
    writes = deployment.standin.count()["writes"]
    result = deployment.client.put("rules", "mine", deployment.known.version)
    assert isinstance(result, clients.Conflict)
    assert deployment.standin.count()["writes"] == writes


def test_write_that_an_unknown_era_receives_is_uncertain(deployment):
    deployment.come_back()
    result = deployment.client.put("rules", "mine", deployment.known.version)
    assert isinstance(result, clients.Uncertain)


def test_object_must_be_missing_in_whichever_era(deployment):
    deployment.come_back()
    deployment.client.get("rules")
    assert isinstance(deployment.client.put("other", 1, 0), clients.StoredObject)
    missing = deployment.client.get("third")
    assert missing.version == domain.make_revision(1, 0)
    result = deployment.client.put("third", 1, missing.version)
    assert isinstance(result, clients.StoredObject)


def test_response_of_earlier_era_is_not_used(deployment):
    client = deployment.client
    client.history.record_era(7, 0.0)
    assert isinstance(client.get("rules"), clients.Unavailable)
    assert isinstance(client.put("x", 1, 0), clients.Uncertain)


@pytest.mark.parametrize("is_era_known", [False, True])
def test_host_list_of_later_era_is_another_list(deployment, is_era_known):
    deployment.standin.set_hosts([])
    known = deployment.client.watch_hosts(0, 0.0)
    deployment.standin.restore(deployment.older)
    deployment.write("new")
    deployment.standin.set_hosts(
        [{"name": "n", "data_centre": "d", "role": "entry", "address": "127.0.0.1:1"}]
    )
    if is_era_known:
        deployment.client.get("rules")
    hosts = deployment.client.watch_hosts(known.revision, 0.2)
    assert list(hosts.by_name) == ["n"]
    assert hosts.revision > known.revision
