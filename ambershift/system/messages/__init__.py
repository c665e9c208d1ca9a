"""Typed messages between the programs of the system, and their encoding."""
