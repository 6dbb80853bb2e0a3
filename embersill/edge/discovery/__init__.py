"""Service discovery: which backends there are, by their heartbeats, and how loaded each is. No I/O."""
