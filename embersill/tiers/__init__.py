"""Forwarders and planners: requests are forwarded by many and decided by a few. See docs/design/tiers.md."""
