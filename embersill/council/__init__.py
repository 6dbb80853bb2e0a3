"""The state shared by planners: a replicated register, offices held by lease, and the work of their holders.

See docs/design/offices.md. Off by default; nothing of it is imported unless the operator file has a [council]
table.
"""
