"""Deterministic simulation of gateways with shared counters, checked by the requests they send alone."""
