"""Stand-ins and local deployments that a person can run: `python -m embersill.lab`. Loopback only."""
