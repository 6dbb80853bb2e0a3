"""The operators' configuration and the orders beside it: documents, their checks, what follows. No I/O."""
