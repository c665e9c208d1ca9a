"""The state that the replicated log of a group builds: wishes, declared maintenance and permits. No I/O."""
