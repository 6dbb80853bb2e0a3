"""Slow-down of lapsed tenants step by step, and request counts about it. No I/O."""
