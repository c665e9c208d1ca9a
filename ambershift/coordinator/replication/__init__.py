"""Replication: a log that a majority of the members holds before anything in it counts. No I/O."""
