"""Operators' overrides of listed servers: validation, merging with the server list, and their progress."""
