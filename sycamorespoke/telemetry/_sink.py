"""Writes log lines without ever making the caller wait."""

import collections
import threading

MAX_QUEUED_LINES = 4000
MAX_BATCH_LINES = 200


class BoundedSink:
    """Writes lines to a stream in a thread of its own; drops and counts the rest.

    Parameters
    ----------
    stream : file object
        Where the lines go.
    limit : int, default=4000
        Lines that wait at most, above 0; further ones are dropped.
    """

    def __init__(self, stream, limit=MAX_QUEUED_LINES):
        self.stream = stream
        self.limit = limit
        self.dropped = 0
        self._lines = collections.deque()
        self._condition = threading.Condition()
        self._writing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, line):
        """Queue a line, or drop it if the stream does not keep up.

        Parameters
        ----------
        line : str
            With its end.
        """
        with self._condition:
            if len(self._lines) >= self.limit:
                self.dropped += 1
                return
            self._lines.append(line)
            if not self._writing:
                self._condition.notify()

    def flush(self, timeout_s):
        """Wait until every queued line is written, for a time.

        Parameters
        ----------
        timeout_s : float
            Longest wait, seconds.

        Returns
        -------
        bool
            Whether all are written.
        """
        with self._condition:
            return self._condition.wait_for(self._is_idle, timeout_s)

    def _is_idle(self):
        return not self._lines and not self._writing

    def _run(self):
        while True:
            batch = self._take_batch()
            self.stream.write("".join(batch))
            self.stream.flush()
            with self._condition:
                self._writing = False
                self._condition.notify_all()

    def _take_batch(self):
        with self._condition:
            self._condition.wait_for(lambda: self._lines)
            count = min(len(self._lines), MAX_BATCH_LINES)
            batch = [self._lines.popleft() for _ in range(count)]
            if self.dropped:
                batch.append(
                    f'{{"event":"log lines dropped","count":{self.dropped}}}\n'
                )
                self.dropped = 0
            self._writing = True
            return batch
