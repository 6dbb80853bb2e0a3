"""Seeded runs of the whole gateway as processes, under clients that leave, signals, restarts and changes."""
