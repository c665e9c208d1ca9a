"""The process of a coordinator: configuration, log, clock, signals, and the assembly of its parts."""
