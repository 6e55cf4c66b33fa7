"""A seeded soak: the real programs under faults from outside, promises checked."""
