"""What staff see and do while a gateway runs: figures, calls by hand, drains, and a process that follows."""
