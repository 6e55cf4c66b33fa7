"""Benchmarks of the system's components.

A benchmark that has baselines measures them in the same run.
"""
