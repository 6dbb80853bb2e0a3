"""Configuration of a process: from the platform, and from the operator's own file."""
