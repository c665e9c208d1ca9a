"""Which control node looks after a proxy: the nearest that reaches the others, else another."""
