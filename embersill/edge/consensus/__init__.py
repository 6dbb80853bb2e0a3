"""Agreement among the members of the core: who they are, what is in force, how it reaches all. No I/O."""
