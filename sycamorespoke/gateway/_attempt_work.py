"""Counts what the current attempt of a request is for its upstream."""

from sycamorespoke.gateway import _prompt_work


class AttemptWork:
    """Work and memory of one attempt at a time, as counted in the upstream's state.

    Parameters
    ----------
    gateway : Gateway
        Has the states of the upstreams.
    request : Request
        The request.

    Attributes
    ----------
    upstream : Upstream or None
        Upstream of the current attempt, if there is one.
    """

    def __init__(self, gateway, request):
        self.gateway = gateway
        self.request = request
        self.upstream = None
        # What the upstream has not done yet, and the tokens held there.
        self._work = 0.0
        self._tokens = 0.0
        self._work_ahead = None

    def begin(self, choice):
        """Count an attempt at the upstream of a `Choice` from now on."""
        prompt = self.request.prompt
        self._work, self._tokens = 1.0, 0.0
        self._work_ahead = choice.work_ahead
        if prompt is not None and self._work_ahead is None:
            self._work = _prompt_work.estimate_work(prompt)
        elif prompt is not None:
            # What an engine generates hardly delays the prompts that it reads.
            self._work = _prompt_work.estimate_read_work(prompt.input_tokens)
            self._tokens = _prompt_work.estimate_held_tokens(prompt)
        self.upstream = choice.upstream
        self.gateway.table.begin_request(self.upstream, self._work, self._tokens)

    def record_read(self):
        """Count the prompt as read, where hosts share their loads; may be repeated."""
        if self.upstream is None or not self._is_shared() or not self._work:
            return
        self.gateway.table.reduce_work(self.upstream, self._work)
        self._work = 0.0

    def learn_pace(self, waited_s, now):
        """Learn how long the upstream took for the prompts ahead and this one.

        Parameters
        ----------
        waited_s : float
            Time from the sending to the first event, seconds.
        now : float
            Current time, seconds of the boot clock.
        """
        if not self._is_shared():
            return
        read_work = _prompt_work.estimate_read_work(self.request.prompt.input_tokens)
        self.gateway.chooser.placer.record_begun(
            self.upstream.service, self._work_ahead + read_work, waited_s, now
        )

    def end(self):
        """Stop counting the attempt, if one is counted."""
        if self.upstream is not None:
            self.gateway.table.end_request(self.upstream, self._work, self._tokens)
            self.upstream = None

    def _is_shared(self):
        return self.request.prompt is not None and self._work_ahead is not None
