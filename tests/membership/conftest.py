import time

import pytest

from tests import fakes


class OwnPlatform(fakes.PlatformConnection):
    """A platform for one host, with the methods that tests call directly."""

    def __init__(self):
        super().__init__(fakes.DocumentPlatform())
        self.put = self.platform.put

    @property
    def hosts(self):
        return self.platform.hosts

    @hosts.setter
    def hosts(self, hosts):
        self.platform.hosts = hosts


def wait_for(condition, timeout_s=5.0):
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.01)
    return False


@pytest.fixture
def make_platform():
    return OwnPlatform


@pytest.fixture
def wait_until():
    return wait_for
