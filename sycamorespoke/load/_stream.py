"""Reading of a completion's event stream."""

import json

import attrs

DONE = b"[DONE]"


@attrs.define
class StreamReader:
    """Collects the events of a completion's stream.

    Parameters
    ----------
    token_times_s : list of float
        When each token arrived, seconds of the clock given to ``feed``.
    prompt_tokens, cached_tokens, completion_tokens : int
        As the usage in the stream says.
    error_kind : str
        Kind of the error event; empty for none.
    execution : str
        What the error event says about execution.
    finished : bool
        A finish reason was read.
    done : bool
        The final marker was read.
    """

    token_times_s: list[float] = attrs.field(factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    error_kind: str = ""
    execution: str = ""
    finished: bool = False
    done: bool = False
    _buffer: bytes = b""

    def feed(self, data, now):
        r"""Read the next bytes of the stream.

        Parameters
        ----------
        data : bytes
            As they arrived.
        now : float
            When they arrived, seconds.

        Raises
        ------
        ValueError
            When an event is malformed.

        Examples
        --------
        >>> reader = StreamReader()
        >>> reader.feed(b'data: {"choices": [{"text": "a"}]}\n\ndata: [DO', 1.5)
        >>> reader.feed(b'NE]\n\n', 1.6)
        >>> reader.token_times_s, reader.done
        ([1.5], True)
        """
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if line.startswith(b"data:"):
                self._read_event(line[5:].strip(), now)

    def find_fault(self):
        """Say why the stream is no whole answer.

        Returns
        -------
        str
            The cause; empty for a whole answer.
        """
        if self.error_kind:
            return self.error_kind
        if not self.done:
            return "cut_stream"
        if not self.finished:
            return "no_finish_reason"
        if len(self.token_times_s) != self.completion_tokens:
            return "wrong_token_count"
        return ""

    def _read_event(self, event, now):
        if event == DONE:
            self.done = True
            return
        value = json.loads(event)
        if "error" in value:
            self.error_kind = str(value["error"].get("code", "error"))
            self.execution = str(value["error"].get("execution", ""))
        for choice in value.get("choices") or ():
            if choice.get("text"):
                self.token_times_s.append(now)
            if choice.get("finish_reason"):
                self.finished = True
        self._read_usage(value.get("usage") or {})

    def _read_usage(self, usage):
        if not usage:
            return
        details = usage.get("prompt_tokens_details") or {}
        self.prompt_tokens = usage.get("prompt_tokens", 0)
        self.cached_tokens = details.get("cached_tokens", 0)
        self.completion_tokens = usage.get("completion_tokens", 0)
