"""Fake of the platform as a store of documents, and the hosts' connections to it."""

from sycamorespoke import clients, domain

RULES = """deployment abrr  # asked by Salma: pickup queue
data-centre seeb  # asked by Salma: pickup queue
data-centre ruwi  # asked by Salma: pickup queue
"""


class DocumentPlatform:
    """Stored objects and the host list, shared by all connections."""

    def __init__(self):
        self.stored_by_name = {}
        self.previous_by_name = {}
        self.hosts = domain.HostList(1)
        self.version = 0

    def put(self, name, version=None, **value):
        self.version = version or self.version + 1
        if name in self.stored_by_name:
            self.previous_by_name[name] = self.stored_by_name[name]
        self.stored_by_name[name] = clients.StoredObject(value, self.version)

    def revision(self, name):
        stored = self.stored_by_name.get(name)
        return stored.value["revision"] if stored else 0

    def publish_rules(self):
        self.put("rules", revision=self.revision("rules") + 1, text=RULES)

    def publish_state(self, data_centres_out=(), upstreams_out=()):
        self.put(
            "service-state",
            revision=self.revision("service-state") + 1,
            data_centres_out=list(data_centres_out),
            upstreams_out=list(upstreams_out),
        )


class PlatformConnection:
    """Connection of one host to the platform, with its own faults.

    Attributes
    ----------
    down : bool
        Whether every request fails.
    silent : bool
        Whether watches of objects end without reporting a change.
    stale : bool
        Whether reads return the previous version of an object.
    """

    def __init__(self, platform):
        self.platform = platform
        self.down = False
        self.silent = False
        self.stale = False

    def get(self, name):
        if self.down:
            return clients.Unavailable("down")
        stored = self.platform.stored_by_name.get(name, clients.Missing())
        return (
            self.platform.previous_by_name.get(name, stored) if self.stale else stored
        )

    def watch(self, name, after, wait_s):
        stored = self.get(name)
        if not isinstance(stored, clients.StoredObject):
            return stored
        is_same = self.silent or stored.version == after
        return clients.Unchanged() if is_same else stored

    def watch_hosts(self, after, wait_s):
        if self.down:
            return clients.Unavailable("down")
        hosts = self.platform.hosts
        return clients.Unchanged() if hosts.revision == after else hosts
