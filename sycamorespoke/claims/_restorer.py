"""Thread that restores claims when the store comes back from an older copy."""

import random
import threading

import loguru
import pykka

from sycamorespoke.claims import _writer

CHECK_INTERVAL_S = 0.25
# Over all hosts.
MAX_WRITES_PER_S = 100.0


class Restorer:
    """Tells the writers to restore claims, one shard at a time.

    Parameters
    ----------
    history : clients.StoreHistory
        Shows when the store has a new era.
    writer_refs : list of pykka.ActorRef
        The writers.
    count_hosts : callable
        Returns the number of hosts that restore claims at the same time.
    """

    def __init__(self, history, writer_refs, count_hosts):
        self.history = history
        self.writer_refs = writer_refs
        self.count_hosts = count_hosts
        self._random = random.Random()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="claim-restorer", daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Stop the thread after its current step."""
        self._stopped.set()

    def _run(self):
        era = self.history.era
        while not self._stopped.wait(CHECK_INTERVAL_S):
            if self.history.era == era:
                continue
            era = self.history.era
            try:
                self._restore_all()
            except pykka.ActorDeadError:
                return
            except Exception:
                # An error in one era must not end the thread.
                loguru.logger.exception("claims were not restored")

    def _restore_all(self):
        for ref in self.writer_refs:
            has_more = ref.ask(_writer.CheckLost())
            while has_more:
                pause_s = choose_pause_s(self.count_hosts(), self._random)
                if self._stopped.wait(pause_s):
                    return
                has_more = ref.ask(_writer.RestoreShard())


def choose_pause_s(hosts, random_source):
    """Choose the pause before a host restores the next shard.

    Parameters
    ----------
    hosts : int
        Number of hosts that do so at the same time, above 0.
    random_source : random.Random
        Differs from host to host: they learn of an era at the same time and must not
        write in step.

    Returns
    -------
    float
        Pause in seconds; together, the hosts write ``MAX_WRITES_PER_S`` on average.
    """
    return random_source.uniform(0.0, 2 * hosts / MAX_WRITES_PER_S)
