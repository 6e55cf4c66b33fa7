"""Seeded soak test: gateway processes under faults, with guarantees checked."""
