"""Counters: the small process beside the coordinator that reads perf's figures, and its stand-in."""
