import contextlib

import pytest
import urllib3

from sycamorespoke import standins


@pytest.fixture
def run():
    """Return a function that runs a stand-in in a thread until the test ends."""
    with contextlib.ExitStack() as stack:

        def start(standin):
            handle = standins.run_in_thread(standin)
            stack.callback(handle.close)
            return handle

        yield start


@pytest.fixture
def http():
    return urllib3.PoolManager(maxsize=20, retries=False, timeout=5)
