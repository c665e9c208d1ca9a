"""The processes of the two roles: sockets, clocks, signals and threads around the state machines."""
