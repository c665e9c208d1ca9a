"""Group: the shell that links members, keeps the log on disk and lets the coordinator use what is held."""
