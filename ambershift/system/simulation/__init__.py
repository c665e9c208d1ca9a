"""Drills: simulated control nodes, callers and troubles by one seed, and a judge of what was told. No I/O."""
