"""A member of a group of coordinators: links, disk, and the coordinator's use of the replicated log."""
