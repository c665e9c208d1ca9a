"""Explores the state machines that run, exhaustively in the small, and tells the shortest way to a fault."""
