"""Which prompts to export first when the links cannot take them all.

``python -m benchmarks.bench_exports``: the same seeded arrivals through the
transfers under each way, with stand-ins in this process and a clock that only
waits and arrivals move. Some prompts never return, the others return after
gaps that are longer than the engines keep them.
"""

import collections
import random

import attrs

from sycamorespoke import world
from tests import fakes

SEED = 20261203
CONVERSATIONS = 260
RETURNING_SHARE = 0.35
MEAN_RETURNS = 4
MEAN_GAP_S = 60.0
DURATION_S = 300.0
FIRST_BLOCKS = (2, 8)
BLOCK_BYTES = 1000
LINK_BLOCKS_PER_S = (4, 16)
CACHE_BLOCKS = 80
STORE_BLOCKS = 700


@attrs.frozen
class Arrival:
    """A prompt that arrives.

    Parameters
    ----------
    at : float
        Time, seconds.
    name : str
        Its conversation.
    blocks : int
        Full blocks of the prompt.
    returned : bool
        It is not the first of its conversation.
    returns : bool
        There will be another one; only an oracle knows.
    """

    at: float
    name: str
    blocks: int
    returned: bool
    returns: bool


def make_arrivals():
    """Make the arrivals, the same on each call."""
    source = random.Random(SEED)
    arrivals = []
    for number in range(CONVERSATIONS):
        turns = 1
        if source.random() < RETURNING_SHARE:
            turns += 1 + int(source.expovariate(1 / MEAN_RETURNS))
        at = source.uniform(0, DURATION_S / 2)
        blocks = source.randint(*FIRST_BLOCKS)
        for turn in range(turns):
            arrivals.append(
                Arrival(at, f"thread-{number}", blocks, turn > 0, turn < turns - 1)
            )
            at += source.expovariate(1 / MEAN_GAP_S)
            blocks += 1
    return sorted(arrivals, key=lambda arrival: arrival.at)


class Replay:
    """Arrivals through one deployment.

    Parameters
    ----------
    way : str
        A key of ``WAYS``.
    link_blocks_per_s : float
        Speed of each link in blocks a second.
    """

    def __init__(self, way, link_blocks_per_s):
        self.way = way
        bytes_per_s = link_blocks_per_s * BLOCK_BYTES
        ends = [("seeb", "seeb"), ("ruwi", "seeb")]
        links_by_ends = {each: world.Link(each, bytes_per_s, 0.0) for each in ends}
        self.deployment = fakes.BlockDeployment(
            BLOCK_BYTES, CACHE_BLOCKS, links_by_ends=links_by_ends, concurrency=1
        )
        for store in self.deployment.stores_by_name.values():
            store.options = attrs.evolve(
                store.options, capacity_bytes=STORE_BLOCKS * (BLOCK_BYTES + 36)
            )
        self.counts = collections.Counter()
        self.seen_blocks_by_name = {}

    def run(self, arrivals):
        """Replay arrivals and return the share recomputed and bytes moved."""
        clock = self.deployment.clock
        start = clock()
        for number, arrival in enumerate(arrivals):
            while clock() < start + arrival.at:
                if not self.deployment.transfers.run_next_export():
                    clock.now = start + arrival.at
            self._serve(arrival, f"scribe-{number % 2 + 1}")
        stats = self.deployment.transfers.stats(clock())
        self.deployment.transfers.close()
        return (
            self.counts["recomputed"] / self.counts["prompt"],
            sum(stats.bytes_by_link.values()) // BLOCK_BYTES,
            stats.exported_blocks,
            stats.imported_blocks,
        )

    def _serve(self, arrival, engine):
        made = self.deployment
        prompt = fakes.make_prompt(arrival.name, arrival.blocks)
        keys = fakes.make_keys(prompt)
        made.import_blocks(keys, engine)
        cached_tokens = made.generate_with_keys(engine, prompt, keys)[1][0][
            "cached_tokens"
        ]
        cached = cached_tokens // world.BLOCK_TOKENS
        seen = self.seen_blocks_by_name.get(arrival.name, 0)
        self.seen_blocks_by_name[arrival.name] = arrival.blocks
        self.counts["prompt"] += arrival.blocks
        self.counts["recomputed"] += max(0, seen - cached)
        may_export, returned = WAYS[self.way](arrival)
        if may_export:
            host = made.hosts_by_name[engine]
            made.transfers.export_blocks(keys, "v1", host, made.clock(), returned)


WAYS = {
    "none": lambda arrival: (False, False),
    "in order of arrival": lambda arrival: (True, False),
    "returned first": lambda arrival: (True, arrival.returned),
    "returned only": lambda arrival: (arrival.returned, True),
    "oracle": lambda arrival: (arrival.returns, True),
}


def main():
    """Print the table."""
    arrivals = make_arrivals()
    print(f"{len(arrivals)} arrivals of {CONVERSATIONS} conversations, seed {SEED}")
    for link_blocks_per_s in LINK_BLOCKS_PER_S:
        print(f"links of {link_blocks_per_s} blocks/s")
        print(f"  {'way':20} {'recomputed':>10} {'moved':>7} {'out':>6} {'in':>6}")
        for way in WAYS:
            share, moved, out, back = Replay(way, link_blocks_per_s).run(arrivals)
            print(f"  {way:20} {share:10.1%} {moved:7} {out:6} {back:6}")


if __name__ == "__main__":
    main()
