"""Bytes of a shard of claims for each claim that it keeps.

Every write of a claim carries the whole shard. Run by
``python -m benchmarks.bench_claim_bytes``.
"""

import hashlib
import json

from sycamorespoke import decisions

COUNTS = (100, 400, 1600, 3200)
NOW_S = 1_000_000.0


def main():
    """Fill shards and print their sizes."""
    print(f"{'claims':>7} {'bytes':>9} {'bytes a claim':>14}")
    for count in COUNTS:
        size = len(json.dumps(fill_shard(count)))
        print(f"{count:>7} {size:>9} {size / count:>14.0f}")


def fill_shard(count):
    """Make the value of a shard with a number of claims, none yet recorded."""
    claims = []
    for number in range(count):
        key_hash = hashlib.sha256(f"key {number}".encode()).hexdigest()
        fingerprint = hashlib.sha256(f"call {number}".encode()).hexdigest()[:32]
        token = decisions.ClaimToken(key_hash, fingerprint, f"seeb-entry-1/{number}")
        claims.append(decisions.Claim(token, NOW_S, NOW_S + 30.0))
    return decisions.apply_claim_operations(None, claims, NOW_S).value


if __name__ == "__main__":
    main()
