"""Backends: which there are, by their heartbeats, and how much each has to do. No I/O."""
