"""The global load balancer: proxies carry the traffic, control nodes hold the state that all must share."""
