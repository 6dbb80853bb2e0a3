"""Simulation of the two-level gateway: the real forwarder and planner cores on the simulation kernel."""
