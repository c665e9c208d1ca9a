"""Measurements, each a command; what they printed is kept in docs/measurements/."""
