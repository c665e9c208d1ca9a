"""Interference: who slows whom on shared nodes, from counters that all nodes share. No I/O."""
