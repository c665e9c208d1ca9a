"""The operator's standing word on each server: what a command changes, what it may not, and what came
of it.
"""
