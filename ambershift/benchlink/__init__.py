"""The bench's wire: a codec and a host of instances. It carries; it decides nothing."""
