"""Items and registers, held by all control nodes: versions, copies, who votes, repair, disk."""
