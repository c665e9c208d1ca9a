"""The two programs: their sockets, clocks and threads around the machines."""
