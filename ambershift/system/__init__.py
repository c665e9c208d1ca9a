"""The whole global load balancer: desks that carry traffic, archivists that hold what all must know."""
