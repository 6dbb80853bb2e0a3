"""Benchmarks: `python -m benchmarks.NAME` prints its figures and, last, JSON."""
