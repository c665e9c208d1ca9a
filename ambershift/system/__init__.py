"""The whole global load balancer: proxies that carry traffic, control nodes that hold what all must know."""
