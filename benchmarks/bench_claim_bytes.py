"""Size of the stored object of a claims shard, per claim.

Every write of a claim writes the object of its whole shard, so the size is the
cost of a write. Run with ``python -m benchmarks.bench_claim_bytes``.
"""

import hashlib
import json

from sycamorespoke import decisions

CLAIM_COUNTS = (100, 400, 1600, 3200)
NOW_S = 1_000_000.0


def main():
    """Print the sizes of shards with different numbers of claims."""
    print(f"{'claims':>7} {'bytes':>9} {'bytes/claim':>14}")
    for count in CLAIM_COUNTS:
        size_bytes = len(json.dumps(make_shard(count)))
        print(f"{count:>7} {size_bytes:>9} {size_bytes / count:>14.0f}")


def make_shard(count):
    """Return the value of a shard of ``count`` claims that have no outcome yet."""
    claims = []
    for number in range(count):
        key_hash = hashlib.sha256(f"key {number}".encode()).hexdigest()
        fingerprint = hashlib.sha256(f"call {number}".encode()).hexdigest()[:32]
        token = decisions.ClaimToken(key_hash, fingerprint, f"seeb-entry-1/{number}")
        claims.append(decisions.Claim(token, NOW_S, NOW_S + 30.0))
    return decisions.apply_claim_operations(None, claims, NOW_S).value


if __name__ == "__main__":
    main()
