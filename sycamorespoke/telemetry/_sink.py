"""Log sink that never blocks the caller."""

import collections
import threading

MAX_QUEUED_LINES = 4000
MAX_BATCH_LINES = 200


class BoundedSink:
    """Queues lines and writes them to a stream in a background thread.

    Lines that do not fit into the queue are dropped, and their number is written to
    the stream later.

    Parameters
    ----------
    stream : file object
        Stream that the lines are written to.
    limit : int, default=4000
        Maximum number of queued lines, above 0; further lines are dropped.
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
        """Queue a line, or drop it if the queue is full.

        Parameters
        ----------
        line : str
            Line that ends with a newline.
        """
        with self._condition:
            if len(self._lines) >= self.limit:
                self.dropped += 1
                return
            self._lines.append(line)
            if not self._writing:
                self._condition.notify()

    def flush(self, timeout_s):
        """Wait until all queued lines are written, at most ``timeout_s``.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            Whether all queued lines are written.
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
