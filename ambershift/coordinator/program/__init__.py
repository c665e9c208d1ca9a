"""The program: configuration, log, clock, signals, and how the parts are put together."""
