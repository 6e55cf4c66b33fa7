"""In-memory store of lease objects with versions, like that of the platform."""

import attrs

from sycamorespoke import clients


@attrs.define
class FakeLeaseStore:
    objects: dict = attrs.field(factory=dict)
    announced: list = attrs.field(factory=list)
    is_unavailable: bool = False

    def get(self, name):
        if self.is_unavailable:
            return clients.Unavailable("unavailable")
        stored = self.objects.get(name)
        return clients.StoredObject(*stored) if stored else clients.Missing()

    def put(self, name, value, version):
        if self.is_unavailable:
            return clients.Unavailable("unavailable")
        current = self.objects.get(name, (None, 0))[1]
        if version != current:
            return clients.Conflict()
        self.objects[name] = (value, current + 1)
        return clients.StoredObject(None, current + 1)

    def announce(self, name, value):
        self.announced.append(value)
        return True
