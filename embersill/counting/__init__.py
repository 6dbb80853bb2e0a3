"""Use of shared counters that may lose counts or be unreachable. `keeper.py` decides, without I/O.

Design: docs/design/counting.md; operating: docs/operate/counting.md.
"""
