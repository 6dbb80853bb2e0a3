"""The operators' configuration and the orders beside it: documents, validation, state changes. No I/O."""
