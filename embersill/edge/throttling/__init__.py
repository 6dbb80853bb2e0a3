"""Tenants that are slowed down, and counts of requests by tenant. No I/O."""
