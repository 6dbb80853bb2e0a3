"""Persistent storage of a gateway's own state."""
