"""A platform whose answers take time on a clock of the test's own."""

from sycamorespoke import clients
from tests.fakes import platform


class SlowPlatform(platform.FakePlatform):
    """As `FakePlatform`, with a clock that each call moves on.

    Attributes
    ----------
    now : float
        Present time, seconds.
    latency_s : float
        Time that each call takes, seconds.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.latency_s = 0.0

    def clock(self):
        return self.now

    def get(self, name):
        answer = super().get(name)
        self.now += self.latency_s
        return answer

    def put(self, name, value, version):
        self.now += self.latency_s / 2
        answer = super().put(name, value, version)
        self.now += self.latency_s / 2
        return answer


class InterruptiblePlatform:
    """One host's way to a shared fake platform, which can be cut.

    Parameters
    ----------
    platform : FakePlatform
        The platform.
    """

    def __init__(self, platform):
        self.platform = platform
        self.is_down = False

    def get(self, name):
        return clients.Unavailable("down") if self.is_down else self.platform.get(name)

    def put(self, name, value, version):
        if self.is_down:
            return clients.Unavailable("down")
        return self.platform.put(name, value, version)
