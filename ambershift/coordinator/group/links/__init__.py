"""Links between members: one connection in each direction, opened by a handshake that is checked first."""
