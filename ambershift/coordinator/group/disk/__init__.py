"""Disk: keeps what a member vouches for in its folder, on a thread of its own that holds up no step."""
