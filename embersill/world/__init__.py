"""Deterministic simulation: a kernel and the tools built on it. Imports nothing of the gateway itself."""
