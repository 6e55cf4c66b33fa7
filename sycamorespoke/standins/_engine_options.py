"""Options of the stand-in for a model engine."""

import attrs


@attrs.frozen
class EngineOptions:
    """Options of a model engine.

    Parameters
    ----------
    model : str, default="scribe"
        Model that is loaded at the start.
    version : str, default="v1"
        Weight version that is loaded at the start.
    limit : int, default=8
        Maximum number of concurrent requests.
    cold_limit : int, default=2
        Concurrent requests that the engine sustains when cold; one more makes it
        fail.
    warm_up_s : float, default=5.0
        Seconds with running requests until the engine is warm.
    queue_limit : int, default=64
        Maximum number of queued requests; further ones are refused.
    prefill_tokens_per_s : float, default=20000.0
        Prompt tokens computed per second, for all requests together.
    token_s : float, default=0.02
        Seconds per generated token of a stream.
    cache_blocks : int, default=200
        Maximum number of cached blocks.
    block_bytes : int, default=65536
        Size of a block, in bytes.
    block_bytes_per_s : float, default=0.0
        Bandwidth of each block transfer, in bytes per second; 0 for no limit.
    weights : str, default=""
        Base URL of the weight store; if empty, loads don't read weights.
    load_s : float, default=0.0
        Minimum duration of a weight load, in seconds.
    report_lag_s : float, default=0.0
        Seconds by which the load report lags.
    software_version : str, default="1.0"
        Version of the software, which each stream states; empty to state none.
    checks_fencing : bool, default=False
        Whether orders with a fencing number below the highest one so far are
        refused.
    """

    model: str = "scribe"
    version: str = "v1"
    limit: int = 8
    cold_limit: int = 2
    warm_up_s: float = 5.0
    queue_limit: int = 64
    prefill_tokens_per_s: float = 20000.0
    token_s: float = 0.02
    cache_blocks: int = 200
    block_bytes: int = 65536
    block_bytes_per_s: float = 0.0
    weights: str = ""
    load_s: float = 0.0
    report_lag_s: float = 0.0
    software_version: str = "1.0"
    checks_fencing: bool = False
