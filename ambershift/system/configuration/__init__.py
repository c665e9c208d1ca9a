"""The operator's configuration: read, checked by hand, made into items, and written back as it came."""
