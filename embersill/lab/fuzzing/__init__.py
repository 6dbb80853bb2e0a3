"""Fuzzing: mutated bytes from outside must get a defined answer, and must not crash anything."""
