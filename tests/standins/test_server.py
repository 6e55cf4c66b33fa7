"""Start and close of a stand-in in the process of a test."""

import time

import pytest
import urllib3
import waitress.trigger

from sycamorespoke import standins

WAKE_UP_S = 0.2


def test_close_does_not_write_to_a_closed_pipe_when_another_pull_ends_the_loop(
    monkeypatch,
):
    handle = standins.run_in_thread(standins.ServiceStandin())
    pull = waitress.trigger.trigger._physical_pull

    def pull_twice(trigger):
        pull(trigger)
        # By now, the loop has executed the function that close() queued.
        time.sleep(WAKE_UP_S)
        pull(trigger)

    monkeypatch.setattr(waitress.trigger.trigger, "_physical_pull", pull_twice)
    handle.close()
    with pytest.raises(urllib3.exceptions.HTTPError):
        urllib3.request("GET", handle.url, retries=False, timeout=1.0)
