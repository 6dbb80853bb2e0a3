"""Measurements: `python -m benchmarks.NAME` prints its figures and, last, one line of JSON."""
