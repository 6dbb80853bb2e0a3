"""Consensus among the core members: membership, the configuration in force, its distribution. No I/O."""
