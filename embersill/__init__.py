"""Decisions of a quota-keeping gateway for a shared API."""

__version__ = "0.1.0"
