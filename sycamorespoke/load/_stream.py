"""Reads the event stream of a completion."""

import json

import attrs

DONE = b"[DONE]"


@attrs.define
class StreamReader:
    """Parses the event stream of a completion.

    Parameters
    ----------
    token_times_s : list of float
        Arrival time of each token, in seconds of the clock passed to ``parse_chunk``.
    prompt_tokens, cached_tokens, completion_tokens : int
        Token counts of the usage in the stream.
    error_kind : str
        Kind in the error event; empty if there is none.
    execution : str
        Execution in the error event, for example ``"not_run"``.
    finished : bool
        Whether a finish reason was read.
    done : bool
        Whether the final ``[DONE]`` marker was read.
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

    def parse_chunk(self, data, now):
        r"""Parse the next bytes of the stream.

        Parameters
        ----------
        data : bytes
            Bytes received; they may end within an event.
        now : float
            Current monotonic time, in seconds.

        Raises
        ------
        ValueError
            If an event is not valid JSON.

        Examples
        --------
        >>> reader = StreamReader()
        >>> reader.parse_chunk(b'data: {"choices": [{"text": "a"}]}\n\ndata: [DO', 1.5)
        >>> reader.parse_chunk(b'NE]\n\n', 1.6)
        >>> reader.token_times_s, reader.done
        ([1.5], True)
        """
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if line.startswith(b"data:"):
                self._read_event(line[5:].strip(), now)

    def find_fault(self):
        """Return why the stream is not a complete response.

        Returns
        -------
        str
            Cause; empty for a complete response.
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
