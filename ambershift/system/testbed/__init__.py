"""The whole system as real processes on one machine, among stand-ins of our own for everyone it serves."""
