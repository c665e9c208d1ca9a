"""Items and registers, held by all archivists: versions, copies, who votes, repair, disk."""
