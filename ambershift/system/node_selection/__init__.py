"""Which control node looks after a desk: the nearest that reaches the others, else another."""
