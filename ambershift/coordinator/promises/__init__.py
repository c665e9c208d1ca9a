"""GroupState: what the replicated log says, as one value: wishes, agreements and permits. No I/O."""
