"""The whole global load balancer: desks that carry traffic, control nodes that hold what all must know."""
