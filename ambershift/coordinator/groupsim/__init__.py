"""The group in a world of its own: a simulated network, faults, clients, and what must hold. No I/O."""
