"""What the planners keep in common: a small register, offices held by lease, and the duties of their holders.

See docs/design/offices.md. Off by default; nothing of it is imported where the operator file has no
[council].
"""
