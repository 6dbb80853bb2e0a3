"""Simulations, experiments and local deployments to run by hand: `python -m embersill.lab`. Loopback only."""
