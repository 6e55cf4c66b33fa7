"""What transfers cost the entry host that makes them.

``python -m benchmarks.bench_blocks``: processor time and wall time of a moved
block, look-ups, the index, and an import against the computation it spares.
The stand-ins run in this process, and their processor time is in the figures.
"""

import statistics
import time
import tracemalloc

from sycamorespoke import clients, standins, transfers, world

ROUNDS = 5
VERSION = "v1"
PREFILL_TOKENS_PER_S = 20000.0
INDEX_ENTRIES = 50000
BLOCK_SIZES = (65536, 1 << 20)
PROMPT_BLOCKS = 20


class Bench:
    """Two engines, two store hosts and the transfers of an entry host."""

    def __init__(self, block_bytes):
        options = standins.EngineOptions(
            warm_up_s=0.0,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            token_s=0.0,
            cache_blocks=10000,
            block_bytes=block_bytes,
        )
        self.handles = []
        self.source = self._serve("scribe-1", standins.EngineStandin(options))
        self.target = self._serve("scribe-2", standins.EngineStandin(options))
        self.stores = [
            self._serve(name, standins.StoreStandin())
            for name in ("ledger-cache", "tag-cache")
        ]
        self.engine_client = clients.EngineClient()

    def make_entry(self):
        """Make the transfers of an entry host that knows nothing yet."""
        made = transfers.Transfers("seeb")
        made.configure({}, self.stores)
        return made

    def first_token_s(self, host, name):
        """Send a prompt and return the time to its first line and its keys."""
        prompt, keys = make_prompt(name)
        request = clients.GenerationRequest(
            request_id=name,
            account="abrr",
            model="scribe",
            version=VERSION,
            prompt=prompt,
            block_keys=keys,
            max_tokens=1,
            priority=5,
        )
        start = time.perf_counter()
        messages = self.engine_client.generate(host, request, 60.0).messages()
        next(messages)
        first_s = time.perf_counter() - start
        list(messages)
        return first_s, keys

    def close(self):
        """Stop the stand-ins."""
        for handle in self.handles:
            handle.close()

    def _serve(self, name, standin):
        handle = standins.run_in_thread(standin, threads=16)
        self.handles.append(handle)
        role = world.HostRole.STORE if "cache" in name else world.HostRole.UPSTREAM
        return world.Host(name, "seeb", role, handle.address)


def make_prompt(name):
    """Make a prompt and its keys."""
    prompt = (f"{name} " * 200000)[: PROMPT_BLOCKS * 8000]
    return prompt, world.chain_block_keys("abrr", "scribe", VERSION, prompt).keys


def measure_moves(block_bytes):
    """Print what moving the blocks of a prompt costs, and what it spares."""
    bench = Bench(block_bytes)
    rows = []
    try:
        for number in range(ROUNDS):
            rows.append(measure_round(bench, f"thread-{number}"))
    finally:
        bench.close()
    columns = [statistics.median(column) for column in zip(*rows, strict=True)]
    recompute_s, export_s, unknown_s, known_s, import_s, cpu_s, first_s = columns
    per_block_ms = 1000 / PROMPT_BLOCKS
    print(f"blocks of {block_bytes} bytes, {PROMPT_BLOCKS} a prompt:")
    print(f"  first token, all computed        {recompute_s * 1000:8.1f} ms")
    print(f"  import                           {import_s * 1000:8.1f} ms")
    print(f"  first token after the import     {first_s * 1000:8.1f} ms")
    print(f"  import, wall a block             {import_s * per_block_ms:8.2f} ms")
    print(f"  import, processor a block        {cpu_s * per_block_ms:8.2f} ms")
    print(f"  export, wall a block             {export_s * per_block_ms:8.2f} ms")
    print(f"  look-up of an unknown prompt     {unknown_s * 1000:8.2f} ms")
    print(f"  look-up of a stored prompt       {known_s * 1000:8.2f} ms")


def measure_round(bench, name):
    """Return the times of one prompt, in the order of the table."""
    recompute_s, keys = bench.first_token_s(bench.source, name)
    entry, fresh = bench.make_entry(), bench.make_entry()
    entry.export_blocks(keys, VERSION, bench.source, time.monotonic())
    export_s, _ = timed(entry.run_queued_exports)
    _, other_keys = make_prompt(f"unknown {name}")
    unknown_s, _ = timed(lambda: fresh.discover(other_keys, time.monotonic()))
    known_s, _ = timed(lambda: fresh.discover(keys, time.monotonic()))
    cpu_start = time.process_time()
    import_s, imported = timed(
        lambda: fresh.import_blocks(keys, VERSION, bench.target, time.monotonic())
    )
    cpu_s = time.process_time() - cpu_start
    if imported.blocks != PROMPT_BLOCKS:
        raise RuntimeError(f"the import failed: {imported.reason}")
    first_s, _ = bench.first_token_s(bench.target, name)
    entry.close()
    fresh.close()
    return recompute_s, export_s, unknown_s, known_s, import_s, cpu_s, first_s


def measure_index():
    """Print what the index costs."""
    store = world.Host("ledger-cache", "seeb", world.HostRole.STORE, "127.0.0.1:1")
    entry = transfers.Transfers("seeb", index_capacity=INDEX_ENTRIES)
    entry.configure({}, [store])
    keys = [f"{number:064x}" for number in range(INDEX_ENTRIES)]
    tracemalloc.start()
    for key in keys:
        entry.record_stored(key, store, world.Block(key, 65536, "", 1))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    prompt_keys = keys[:50]
    locate_s, _ = timed(lambda: [entry.locate(prompt_keys, 0.0) for _ in range(1000)])
    print(f"index: {size / INDEX_ENTRIES:.0f} bytes an entry")
    print(f"index: {locate_s * 1000:.1f} us to locate a prompt of 50 blocks")
    entry.close()


def timed(call):
    """Return the wall time of a call and its result."""
    start = time.perf_counter()
    result = call()
    return time.perf_counter() - start, result


def main():
    """Print the figures."""
    for block_bytes in BLOCK_SIZES:
        measure_moves(block_bytes)
    measure_index()


if __name__ == "__main__":
    main()
