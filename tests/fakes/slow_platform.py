"""Fake platforms with simulated latency and connection failures."""

from sycamorespoke import clients
from tests.fakes import platform


class SlowPlatform(platform.FakePlatform):
    """`FakePlatform` with a simulated clock that each request advances.

    Attributes
    ----------
    now : float
        Current simulated time, in seconds.
    latency_s : float
        Duration of each request, in seconds. A read takes effect at its start, a
        write after half of the duration.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.latency_s = 0.0

    def clock(self):
        return self.now

    def get(self, name):
        result = super().get(name)
        self.now += self.latency_s
        return result

    def put(self, name, value, version):
        self.now += self.latency_s / 2
        result = super().put(name, value, version)
        self.now += self.latency_s / 2
        return result


class InterruptiblePlatform:
    """Connection of one host to a shared fake platform, which a test can interrupt.

    Parameters
    ----------
    platform : FakePlatform
        The platform.

    Attributes
    ----------
    is_down : bool
        Whether the connection is interrupted.
    """

    def __init__(self, platform):
        self.platform = platform
        self.history = platform.history
        self.is_down = False

    def get(self, name):
        return clients.Unavailable("down") if self.is_down else self.platform.get(name)

    def put(self, name, value, version):
        if self.is_down:
            return clients.Unavailable("down")
        return self.platform.put(name, value, version)
