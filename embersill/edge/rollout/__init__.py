"""Staged policies: carried out step by step by one gateway at a time. No I/O."""
