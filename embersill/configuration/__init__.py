"""What a process is told: by the platform, and by the operator's own file."""
