"""What a gateway keeps on disk."""
