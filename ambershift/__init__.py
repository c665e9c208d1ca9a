"""ambershift: decides which servers each proxy sends to, one table per zone."""
